/** Logging of sentences, tagged with the part of the process they come from. */
export {
  createLogger,
  type LogFormat,
  Logger,
  type LogLevel,
  silentLogger,
} from "./src/logger.ts";
