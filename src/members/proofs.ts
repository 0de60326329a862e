/**
 * Exchanges proofs of how old each VM's knowledge of the configuration is.
 *
 * A VM that read the platform sends proofs to all linked VMs, and hubs forward
 * them. A VM whose report shows older knowledge than this VM's gets a proof too:
 * a VM that the platform rejects depends on the knowledge of others.
 *
 * @module
 */
import type { FreshnessTracker, Instant, Proof } from "../news/freshness.ts";
import type { Clock } from "../runtime/clock.ts";
import type { LinkSet, VmLink } from "./link_set.ts";

/** The fields of a report that request a proof. */
export interface ProofRequest {
  /** An instant of the sender's clock, which the proof refers to. */
  stamp?: number;
  /** Proven age of the sender's knowledge; absent without a proof. */
  knowledgeAgeMs?: number;
}

/** A proof as sent between VMs; `configuration` is its version. */
export type ProofMessage = Omit<Proof, "version"> & { configuration?: number };

/** Dependencies of the proof sender. */
export interface ProofSenderOptions {
  clock: Clock;
  links: LinkSet;
  freshness: FreshnessTracker;
  /** @returns Whether anything depends on the age of the knowledge. */
  isNeeded: () => boolean;
  /** @returns Whether this VM forwards proofs. */
  isRelay: () => boolean;
}

/** Sends and requests proofs. */
export interface ProofSender {
  /** @returns Fields to add to a report, so that others can answer with a proof. */
  makeRequest(): ProofRequest;
  /**
   * Stores a request, and answers it if that helps the sender.
   *
   * @param link The link that it arrived on.
   * @param request The fields from the report.
   */
  receiveRequest(link: VmLink, request: ProofRequest): void;
  /**
   * Applies a proof, and forwards what it proves if this VM is a relay.
   *
   * @param link The link that it arrived on.
   * @param message The proof.
   */
  receiveProof(link: VmLink, message: ProofMessage): void;
  /**
   * Sends proofs on all links whose peers have requested one, at a limited rate.
   *
   * @param except A link to leave out.
   */
  sendProofs(except?: VmLink): void;
}

/** Minimum interval between two rounds of proofs. */
const MIN_SEND_INTERVAL_MS = 250;
/** VMs with knowledge no older than this get their regular proof in time. */
const MIN_ANSWERED_AGE_MS = 1_500;
/** A proof is sent only if it makes the receiver's knowledge newer by this. */
const MIN_ANSWER_GAIN_MS = 500;

/**
 * Sent in the field that VMs of earlier versions compare. They use the source's
 * numbers, which prove nothing after a restore; with this value they assume a
 * configuration that they lack, and so accept no proof.
 */
const UNMATCHED_VERSION = Number.MAX_SAFE_INTEGER;

interface StoredRequest {
  stamp: number;
  arrivedAt: Instant;
}

/**
 * Creates a proof sender.
 *
 * @param options Its dependencies.
 * @returns A sender without stored requests.
 */
export function createProofSender(options: ProofSenderOptions): ProofSender {
  const { clock, links, freshness: knowledge } = options;
  const lastRequests = new WeakMap<VmLink, StoredRequest>();
  let sentAtMs = -Infinity;

  function answer(link: VmLink): void {
    const request = lastRequests.get(link);
    if (request === undefined) return;
    const proof = knowledge.makeProof(request.stamp, request.arrivedAt);
    if (proof === undefined) return;
    const { version: configuration, ...rest } = proof;
    link.send({
      kind: "proof",
      ...rest,
      configuration,
      version: UNMATCHED_VERSION,
    });
  }

  function sendProofs(except?: VmLink): void {
    const nowMs = clock.monotonicMs();
    if (!options.isNeeded() || nowMs - sentAtMs < MIN_SEND_INTERVAL_MS) return;
    sentAtMs = nowMs;
    links.forEach((link) => {
      if (link !== except) answer(link);
    });
  }

  return {
    makeRequest() {
      if (!options.isNeeded()) return {};
      const stamp = knowledge.makeStamp();
      const ageMs = knowledge.getAgeMs();
      return ageMs === Infinity ? { stamp } : { stamp, knowledgeAgeMs: ageMs };
    },
    receiveRequest(link, { stamp, knowledgeAgeMs = Infinity }) {
      if (stamp === undefined) return;
      lastRequests.set(link, { stamp, arrivedAt: knowledge.getInstant() });
      const isLate = knowledgeAgeMs > MIN_ANSWERED_AGE_MS;
      const gainMs = knowledgeAgeMs - knowledge.getAgeMs();
      if (isLate && gainMs > MIN_ANSWER_GAIN_MS) answer(link);
    },
    receiveProof(link, { configuration, ageMs, stamp, heldMs }) {
      if (configuration === undefined) return;
      const proof = { version: configuration, ageMs, stamp, heldMs };
      const isNewer = knowledge.recordProof(proof);
      if (isNewer && options.isRelay()) sendProofs(link);
    },
    sendProofs,
  };
}
