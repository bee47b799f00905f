/** Parses and validates operators' files and settings files. */
export { parseDeployment } from "./src/deployment.ts";
export {
  type BoxSettings,
  type LimitSettings,
  parseSettings,
  type PeerSettings,
  type TimeSettings,
} from "./src/settings.ts";
export { readSettingsFile } from "./src/read_settings_file.ts";
export { hashText } from "./src/hash_text.ts";
export {
  type NodeBounds,
  type NodeSettings,
  parseNodeSettings,
  readNodeSettings,
} from "./src/node_settings.ts";
