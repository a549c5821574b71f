#include "base/Sha256.h"

#include <openssl/evp.h>

#include <array>

namespace mustardwinch {

void Sha256::Deleter::operator()(evp_md_ctx_st* aContext) const
{
  EVP_MD_CTX_free(aContext);
}

Sha256::Sha256()
  : mContext(EVP_MD_CTX_new())
{
  EVP_DigestInit_ex(mContext.get(), EVP_sha256(), nullptr);
}

void Sha256::Add(std::string_view aBytes)
{
  EVP_DigestUpdate(mContext.get(), aBytes.data(), aBytes.size());
}

std::string Sha256::Finish()
{
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
  unsigned int n = 0;
  EVP_DigestFinal_ex(mContext.get(), bytes.data(), &n);
  std::string hex;
  for (unsigned int it = 0; it < n; ++it) {
    hex += kDigits[bytes[it] >> 4U];
    hex += kDigits[bytes[it] & 15U];
  }
  return hex;
}

std::string Sha256::Of(std::string_view aBytes)
{
  Sha256 hash;
  hash.Add(aBytes);
  return hash.Finish();
}

} // namespace mustardwinch
