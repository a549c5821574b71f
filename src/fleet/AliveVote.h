#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mustardwinch {

/** Which VMs each peer that is heard does not hear, as it last told. */
using UnheardReports = std::map<std::string, std::set<std::string>>;

/**
 * Whether a node tells a peer which VMs it does not hear, so that the peer counts its vote. Votes
 * stay within a failure domain unless it has few VMs.
 *
 * Load pattern: hundreds of VMs, many of which restart or are cut off together. If each told all
 * others, the bytes between failure domains would grow with the cube of the number of VMs.
 *
 * @param aPeerDomainVms number of VMs known in the failure domain of the peer
 */
bool TellsVote(bool aSameDomain, std::size_t aPeerDomainVms);

/**
 * The VMs that are taken to be alive, in order of names: those that are heard, and those that most
 * of the voters heard do hear.
 *
 * Load pattern: the path between single pairs of nodes is cut, often one way, while everybody else
 * hears both. If each made the other dead, two nodes would own the same duty at a time.
 *
 * @param aHeard VMs that this node hears, itself among them
 * @param aVoters those of them, itself not among them, that tell this node whom they do not hear
 * @param aUnheard VMs that it knows and does not hear
 */
std::vector<std::string> AgreeOnAlive(const std::vector<std::string>& aHeard,
                                      const std::vector<std::string>& aVoters,
                                      const std::vector<std::string>& aUnheard,
                                      const UnheardReports& aReports);

} // namespace mustardwinch
