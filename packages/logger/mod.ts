/** Short log sentences with a fixed prefix for each part. */
export {
  createLogger,
  type LogFormat,
  Logger,
  type LogLevel,
  silentLogger,
} from "./src/logger.ts";
