/**
 * Reads many rows page by page. What has come is kept: however slow the link or
 * the store is, each page brings the read nearer to its end. A page that does
 * not come in time is asked for again with fewer rows.
 */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";

/** A page as the reader needs it. */
export interface Page {
  readonly items: readonly unknown[];
  /** Where the next page begins; null after the last one. */
  readonly next: string | null;
}

/** How pages are read. */
export interface PagedReadOptions<P extends Page, E> {
  readonly clock: Ports.Clock;
  readonly read: (request: Ports.PageAsk) => Effect.Effect<P, E>;
}

/** Rows of a first page: 150 KB of workflows, 0.12 s at 10 Mbit/s. */
const FIRST_PAGE_ROWS = 50;
/** A row may be as large as the store allows: one has to come in any case. */
const MIN_PAGE_ROWS = 1;
/** The stores that we know give no more rows at once. */
const MAX_PAGE_ROWS = 500;
/** A page that was late is cut to this share. */
const SHRINK_FACTOR = 4;
/** After a page that was quick the next one is larger by this factor. */
const GROWTH_FACTOR = 2;
/** A page is quick below this share of its limit. */
const FAST_PAGE_SHARE = 0.25;
/**
 * A page is late after this time, in ms: a store that answers 75 times more
 * slowly than usual (0.3 s) and a link that eight reads share leave room.
 */
export const PAGE_TIMEOUT_MS = 1500;

/** One read of many rows, under way. */
export class PagedRead<P extends Page, E> {
  readonly #options: PagedReadOptions<P, E>;
  readonly #items: P["items"][number][] = [];
  #first: P | null = null;
  #nextFrom: string | null = null;
  #maxRows = FIRST_PAGE_ROWS;

  constructor(options: PagedReadOptions<P, E>) {
    this.#options = options;
  }

  /** What has come so far. */
  get items(): P["items"] {
    return this.#items;
  }

  /** The first page; null before it has come. */
  get first(): P | null {
    return this.#first;
  }

  /** Reads one more page; true once the last one has come. */
  step(): Effect.Effect<boolean, E | Errors.StoreUnavailableError> {
    const { clock, read } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const request = { from: this.#nextFrom, most: this.#maxRows };
      const requestedAtMs = clock.monotonicMs();
      const timed = yield* clock.within(PAGE_TIMEOUT_MS, read(request));
      if (timed === null) {
        this.#maxRows = Math.max(
          MIN_PAGE_ROWS,
          Math.floor(this.#maxRows / SHRINK_FACTOR),
        );
        const cause = `no page in time; the next has ${this.#maxRows} rows`;
        const operation = "scan";
        return yield* new Errors.StoreUnavailableError({ operation, cause });
      }
      const page = timed.value;
      this.#first ??= page;
      this.#items.push(...page.items);
      this.#nextFrom = page.next;
      this.#growIfFast(clock.monotonicMs() - requestedAtMs);
      return page.next === null;
    });
  }

  /** Where pages are quick, fewer and larger ones do. */
  #growIfFast(tookMs: number): void {
    if (tookMs > PAGE_TIMEOUT_MS * FAST_PAGE_SHARE) return;
    this.#maxRows = Math.min(MAX_PAGE_ROWS, this.#maxRows * GROWTH_FACTOR);
  }
}
