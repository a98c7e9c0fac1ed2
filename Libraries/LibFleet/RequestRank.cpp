#include "LibFleet/RequestRank.h"

namespace primrose {

unsigned
EffectiveRank(const manifest_index& /*aManifest*/,
              const service& /*aService*/,
              const route& /*aRoute*/,
              const organisation* /*aOrganisation*/)
{
  return 0;
}

} // namespace primrose
