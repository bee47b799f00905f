/** What other boxes say of the store while this one does not hear it. */

/** What a coordinator asks before it gives leases without the store. */
export abstract class OutageWord {
  /**
   * Whether the store is away for all, as far as other boxes have said lately. Then
   * nobody can be elected, and running work may go on. Else this box may be parted
   * from the store alone, and another one may coordinate by now.
   */
  abstract isShared(): boolean;
}
