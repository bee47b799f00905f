/**
 * Reads many rows page by page. Pages that have arrived are kept, so that the read
 * makes progress however slow the link or the store is. A page that times out is
 * requested again with fewer rows.
 */
import * as Errors from "@cairngate/errors";
import type * as Ports from "@cairngate/ports";
import * as Effect from "effect/Effect";

/** One page of rows. */
export interface Page {
  readonly items: readonly unknown[];
  /** Start of the next page; null after the last one. */
  readonly next: string | null;
}

/** Clock and source of the pages. */
export interface PagedReadOptions<P extends Page, E> {
  readonly clock: Ports.Clock;
  readonly read: (request: Ports.PageRequest) => Effect.Effect<P, E>;
}

/** Rows of the first page: 150 KB of workflows, which take 0.12 s at 10 Mbit/s. */
const FIRST_PAGE_ROWS = 50;
/** A single row may be as large as the store allows, so a page may shrink to one. */
const MIN_PAGE_ROWS = 1;
/** Stores return no more rows at once. */
const MAX_PAGE_ROWS = 500;
/** Factor by which the page shrinks after a timeout. */
const SHRINK_FACTOR = 4;
/** Factor by which the page grows after a fast one. */
const GROWTH_FACTOR = 2;
/** A page is fast below this share of its timeout. */
const FAST_PAGE_SHARE = 0.25;
/**
 * Timeout of a page, in ms. Leaves room for a store that answers 75 times more
 * slowly than usual (0.3 s) and for a link shared by eight reads.
 */
export const PAGE_TIMEOUT_MS = 1500;

/** One read of many rows and the pages that it has received. */
export class PagedRead<P extends Page, E> {
  readonly #options: PagedReadOptions<P, E>;
  readonly #items: P["items"][number][] = [];
  #first: P | null = null;
  #nextFrom: string | null = null;
  #maxRows = FIRST_PAGE_ROWS;

  constructor(options: PagedReadOptions<P, E>) {
    this.#options = options;
  }

  /** Rows received so far. */
  get items(): P["items"] {
    return this.#items;
  }

  /** The first page; null before it has arrived. */
  get first(): P | null {
    return this.#first;
  }

  /**
   * Reads one more page; returns whether it was the last. Fails where the page
   * times out; the next call requests it again with fewer rows.
   */
  readPage(): Effect.Effect<boolean, E | Errors.StoreUnavailableError> {
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
        const cause = `page timed out; the next has ${this.#maxRows} rows`;
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

  /** Requests larger pages, and so fewer of them, while they are fast. */
  #growIfFast(tookMs: number): void {
    if (tookMs > PAGE_TIMEOUT_MS * FAST_PAGE_SHARE) return;
    this.#maxRows = Math.min(MAX_PAGE_ROWS, this.#maxRows * GROWTH_FACTOR);
  }
}
