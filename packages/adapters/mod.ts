/** Adapters of the ports: system clock, random source, platform and workers (HTTP). */
export {
  HttpLiveList,
  HttpObjectStore,
  HttpTable,
} from "./src/http_platform.ts";
export { HttpWorkers } from "./src/http_workers.ts";
export { SystemClock } from "./src/system_clock.ts";
export { SystemRandom } from "./src/system_random.ts";
