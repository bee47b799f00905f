/** Paged reads. */

/** The range of rows that one read requests. */
export interface PageRequest {
  /** The `next` of the previous page; null starts at the first row. */
  readonly from: string | null;
  /** Maximum number of rows; the store may return fewer. */
  readonly most: number;
}
