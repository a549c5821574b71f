#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace mustardwinch {

/** Which VMs each peer that is heard does not hear, as it last told. */
using UnheardReports = std::map<std::string, std::set<std::string>>;

/** Names of the known VMs, by failure domain. */
using VmsByDomain = std::map<std::string, std::vector<std::string>>;

/**
 * The VMs that tell all others whom they do not hear: the same for all nodes that know the same
 * VMs, about as many of each failure domain.
 *
 * Load pattern: hundreds of VMs, many of which restart or are cut off together. If each told all
 * others, the bytes between failure domains would grow with the cube of the number of VMs. Voters
 * of one failure domain alone would not do: a VM may be cut off from most of its own domain only.
 */
std::set<std::string> ChooseVoters(const VmsByDomain& aVms);

/**
 * The VMs that are taken to be alive, in order of names: those that are heard, and those that most
 * of the voters heard do hear.
 *
 * Load pattern: the path between single pairs of nodes is cut, often one way, while everybody else
 * hears both. If each made the other dead, two nodes would own the same duty at a time.
 *
 * @param aHeard VMs that this node hears, itself among them
 * @param aVoters other VMs that it hears and that tell it whom they do not hear
 * @param aUnheard VMs that it knows and does not hear
 */
std::vector<std::string> AgreeOnAlive(const std::vector<std::string>& aHeard,
                                      const std::vector<std::string>& aVoters,
                                      const std::vector<std::string>& aUnheard,
                                      const UnheardReports& aReports);

} // namespace mustardwinch
