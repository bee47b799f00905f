/** One box: configuration, membership, cell owners and request entry. */
export { Box, type BoxDump, type BoxPorts } from "./src/box.ts";
export {
  type ApplyRequest,
  ConfigKeeper,
  type VersionSummary,
} from "./src/config_keeper.ts";
