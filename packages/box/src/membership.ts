/** Peer states and cell claims, from the heartbeats of the peers. */
import * as Cell from "@cairngate/cell";
import type * as Config from "@cairngate/config";
import type * as Ports from "@cairngate/ports";
import * as Types from "@cairngate/types";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import type * as leaving from "./leaving_workers.ts";

/** Settings and services of the membership. */
export interface MembershipOptions {
  readonly box: string;
  readonly clock: Ports.Clock;
  readonly network: Ports.PeerNetwork;
  readonly times: Config.TimeSettings;
  readonly leavingWorkers: leaving.LeavingWorkers;
  readonly configVersion: () => number;
}

/** The last heartbeat of a peer and the time of its arrival. */
interface PeerState {
  beatAtMs: number;
  beat: Types.Heartbeat;
}

/**
 * A box that owns no cell sends heartbeats less often by this factor, as its
 * failure needs no takeover. Changes are announced at once.
 */
const IDLE_BEAT_FACTOR = 4;
/** New claims of other boxes are passed on for this long. */
const CLAIM_RELAY_MS = 5000;
/** On a closed link, a peer is lost after this many heartbeat intervals. */
const LATE_BEAT_FACTOR = 1.5;

/** Sends heartbeats and keeps the state that peers report in theirs. */
export class Membership extends Cell.ClusterView {
  readonly #options: MembershipOptions;
  readonly #peers = new Map<string, PeerState>();
  readonly #claims = new Map<string, Types.OwnerClaim>();
  readonly #claimedAtMs = new Map<string, number>();
  readonly #claimWaits = new Map<string, Deferred.Deferred<void>>();
  readonly #fibers: Fiber.Fiber<unknown>[] = [];
  #newerConfig = Deferred.makeUnsafe<void>();
  #state = Types.BoxState.Starting;

  constructor(options: MembershipOptions) {
    super();
    this.#options = options;
  }

  /** Starts the heartbeats, in one fiber for each peer. */
  start(): void {
    for (const peer of this.#options.network.peers()) {
      this.#fibers.push(Effect.runFork(this.#keepBeating(peer)));
    }
    this.#fibers.push(Effect.runFork(this.#keepAnnouncing()));
  }

  /** Stops the heartbeats. */
  stop(): Effect.Effect<void> {
    return Fiber.interruptAll(this.#fibers);
  }

  /** Sets the state of this box and announces it to the peers. */
  setState(state: Types.BoxState): void {
    this.#state = state;
    this.announce();
  }

  /** State of this box, as sent in its heartbeats. */
  get state(): Types.BoxState {
    return this.#state;
  }

  /** Records a received heartbeat. */
  noteBeat(beat: Types.Heartbeat): void {
    const beatAtMs = this.#options.clock.monotonicMs();
    this.#peers.set(beat.box, { beatAtMs, beat });
    for (const claim of beat.owners) this.noteClaim(claim);
    if (beat.configVersion > this.#options.configVersion()) {
      Deferred.doneUnsafe(this.#newerConfig, Effect.void);
    }
    this.#options.leavingWorkers.noteLeaving(beat.leavingWorkers);
  }

  /** Waits until a peer has a newer configuration than this box. */
  awaitNewerConfig(): Effect.Effect<void> {
    return Effect.suspend(() => {
      const isAhead = this.peersAhead(this.#options.configVersion()).length > 0;
      if (isAhead) return Effect.void;
      this.#newerConfig = Deferred.makeUnsafe();
      return Deferred.await(this.#newerConfig);
    });
  }

  /** Peers with a newer configuration than a version, newest first. */
  peersAhead(version: number): string[] {
    return [...this.#peers.values()]
      .filter(({ beat }) => beat.configVersion > version)
      .sort((a, b) => b.beat.configVersion - a.beat.configVersion)
      .map(({ beat }) => beat.box);
  }

  override claimOf(cell: string): Types.OwnerClaim | null {
    return this.#claims.get(cell) ?? null;
  }

  override noteClaim(claim: Types.OwnerClaim): void {
    const current = this.#claims.get(claim.cell);
    if (current !== undefined && current.epoch >= claim.epoch) return;
    this.#claims.set(claim.cell, claim);
    this.#claimedAtMs.set(claim.cell, this.#options.clock.monotonicMs());
    const waits = this.#claimWaits.get(claim.cell);
    this.#claimWaits.delete(claim.cell);
    if (waits !== undefined) Deferred.doneUnsafe(waits, Effect.void);
  }

  /** Waits until a claim with a higher epoch is recorded for a cell. */
  awaitNewerClaim(cell: string): Effect.Effect<void> {
    return Effect.suspend(() => {
      const waits = this.#claimWaits.get(cell) ?? Deferred.makeUnsafe<void>();
      this.#claimWaits.set(cell, waits);
      return Deferred.await(waits);
    });
  }

  override isAliveAnywhere(box: string): boolean {
    if (box === this.#options.box) return true;
    if (this.#isAlive(box)) return true;
    for (const [name, { beat }] of this.#peers) {
      if (this.#isAlive(name) && beat.hears.includes(box)) return true;
    }
    return false;
  }

  override isLeaving(box: string): boolean {
    const state = this.#peers.get(box)?.beat.state;
    return state === Types.BoxState.Leaving;
  }

  override livePeers(): readonly string[] {
    return [...this.#peers]
      .filter(([name, { beat }]) =>
        this.#isAlive(name) && beat.state === Types.BoxState.Live
      )
      .map(([name]) => name);
  }

  override isWorkerLeaving(worker: string): boolean {
    return this.#options.leavingWorkers.isLeaving(worker);
  }

  override announce(): void {
    for (const peer of this.#options.network.peers()) {
      this.#sendBeat(peer);
    }
  }

  /** Returns all claims and peers for `cairngate dump`. */
  dump() {
    const nowMs = this.#options.clock.monotonicMs();
    return {
      claims: [...this.#claims.values()],
      peers: [...this.#peers].map(([name, { beatAtMs, beat }]) => ({
        name,
        state: beat.state,
        heard: this.#isAlive(name),
        heardAgoMs: Math.round(nowMs - beatAtMs),
        configVersion: beat.configVersion,
      })),
    };
  }

  #isAlive(box: string): boolean {
    const peer = this.#peers.get(box);
    if (peer === undefined) return false;
    const { heartbeatMs, peerTimeoutMs } = this.#options.times;
    const ageMs = this.#options.clock.monotonicMs() - peer.beatAtMs;
    const isOpen = this.#options.network.isOpen(box);
    if (!isOpen && ageMs > heartbeatMs * LATE_BEAT_FACTOR) {
      return false;
    }
    const isOwner = peer.beat.owners.some((claim) => claim.holder === box);
    const extraMs = isOwner ? 0 : (IDLE_BEAT_FACTOR - 1) * heartbeatMs;
    return ageMs <= peerTimeoutMs + extraMs;
  }

  #isNewClaim(claim: Types.OwnerClaim): boolean {
    const sinceMs = this.#claimedAtMs.get(claim.cell) ?? 0;
    return this.#options.clock.monotonicMs() - sinceMs < CLAIM_RELAY_MS;
  }

  #keepBeating(peer: string): Effect.Effect<never> {
    const { clock, times } = this.#options;
    let beats = 0;
    const beat = Effect.sync(() => {
      const isDue = beats++ % IDLE_BEAT_FACTOR === 0;
      if (isDue || this.#ownsAny()) this.#sendBeat(peer);
    });
    return clock.every(times.heartbeatMs, beat);
  }

  /**
   * Sends heartbeats early when the set of live owners or of leaving workers
   * changes. The check runs twice per heartbeat interval.
   */
  #keepAnnouncing(): Effect.Effect<never> {
    const { clock, times, leavingWorkers } = this.#options;
    let announced = "";
    const announceChanges = Effect.sync(() => {
      const names = [
        ...this.#liveHolders(),
        "",
        ...leavingWorkers.namesToRelay(),
      ];
      const text = names.join(" ");
      if (text === announced) return;
      announced = text;
      this.announce();
    });
    return clock.every(times.heartbeatMs / 2, announceChanges);
  }

  #ownsAny(): boolean {
    for (const { holder } of this.#claims.values()) {
      if (holder === this.#options.box) return true;
    }
    return false;
  }

  #liveHolders(): string[] {
    const claims = [...this.#claims.values()];
    const holders = new Set(claims.map((claim) => claim.holder));
    return [...holders].filter((holder) => this.#isAlive(holder));
  }

  #sendBeat(peer: string): void {
    this.#options.network.notify(peer, this.#makeBeat());
  }

  #makeBeat(): Types.Heartbeat {
    const { box, leavingWorkers, configVersion } = this.#options;
    // Holders send their own claims; claims of others are relayed while new.
    const owners = [...this.#claims.values()].filter((claim) =>
      claim.holder === box || this.#isNewClaim(claim)
    );
    const hears = this.#liveHolders();
    return {
      kind: Types.PeerKind.Heartbeat,
      box,
      state: this.#state,
      configVersion: configVersion(),
      owners,
      hears,
      leavingWorkers: leavingWorkers.namesToRelay(),
    };
  }
}
