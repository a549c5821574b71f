#pragma once

#include <memory>
#include <string>
#include <string_view>

struct evp_md_ctx_st;

namespace mustardwinch {

/** SHA-256 of bytes that arrive piece by piece. */
class Sha256
{
public:
  Sha256();

  void Add(std::string_view aBytes);

  /** The hash in lower-case hex. Call it once, after the last Add(). */
  std::string Finish();

  /** The hash of one text in lower-case hex. */
  static std::string Of(std::string_view aBytes);

private:
  struct Deleter
  {
    void operator()(evp_md_ctx_st* aContext) const;
  };

  std::unique_ptr<evp_md_ctx_st, Deleter> mContext;
};

} // namespace mustardwinch
