/** Reads that come page by page. */

/** Which rows of a partition one read asks for. */
export interface PageAsk {
  /** Where to begin, as the page before told; null for the first row. */
  readonly from: string | null;
  /** Most rows of the answer; the store may give fewer. */
  readonly most: number;
}
