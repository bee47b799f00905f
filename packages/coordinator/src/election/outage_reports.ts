/** What other boxes report about the store while this one can't reach it. */

/** Consulted by a coordinator before it grants leases without the store. */
export abstract class OutageReports {
  /**
   * Whether the store is unavailable to all boxes, by their recent reports. Then no box
   * can be elected, and running work may continue. Otherwise only this box may be
   * disconnected from the store, and another one may coordinate by now.
   */
  abstract isUnavailableToAll(): boolean;
}
