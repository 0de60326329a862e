/**
 * Tells other VMs how old this VM's knowledge of the configuration is, and asks
 * them.
 *
 * A VM that read the platform tells all that are linked to it, and hubs tell it
 * on. A VM whose reports show that it knows less lately than this one is told
 * as well: one that the platform turns away lives by what others know.
 *
 * @module
 */
import type { FreshnessTracker, Instant, Proof } from "../news/freshness.ts";
import type { Clock } from "../runtime/clock.ts";
import type { LinkSet, VmLink } from "./link_set.ts";

/** What a VM shows in its reports. */
export interface ProofQuestion {
  stamp?: number;
  knowledgeAgeMs?: number;
}

/** A proof as VMs send it. */
export type ProofMessage = Omit<Proof, "version"> & { configuration?: number };

/** What telling needs. */
export interface ProofTellerParts {
  clock: Clock;
  links: LinkSet;
  knowledge: FreshnessTracker;
  /** Whether anything hangs on how old knowledge is. */
  isNeeded: () => boolean;
  /** Whether what others prove is told on. */
  isRelay: () => boolean;
}

/** Tells and asks. */
export interface ProofTeller {
  /** @returns What a report shows, so that others can answer. */
  makeQuestion(): ProofQuestion;
  receiveQuestion(link: VmLink, question: ProofQuestion): void;
  receiveProof(link: VmLink, message: ProofMessage): void;
  /** Tells all VMs that are linked, but for one. */
  tell(except?: VmLink): void;
}

/** Least pause between two tellings. */
const TELL_PAUSE_MS = 250;
/** VMs whose knowledge is no older are told in time anyway. */
const HELPED_AGE_MS = 1_500;
/** A proof is worth a message where it makes knowledge newer by this. */
const HELPING_GAIN_MS = 500;

/**
 * VMs of earlier versions take this for a configuration that they lack: they
 * counted by the source's numbers, which prove nothing after a restore.
 */
const NEVER_KNOWN = Number.MAX_SAFE_INTEGER;

interface Question {
  stamp: number;
  arrivedAt: Instant;
}

/**
 * @param parts What telling needs.
 * @returns A teller that was asked nothing.
 */
export function createProofTeller(parts: ProofTellerParts): ProofTeller {
  const { clock, links, knowledge } = parts;
  const questions = new WeakMap<VmLink, Question>();
  let toldAtMs = -Infinity;

  function answer(link: VmLink): void {
    const question = questions.get(link);
    if (question === undefined) return;
    const proof = knowledge.makeProof(question.stamp, question.arrivedAt);
    if (proof === undefined) return;
    const { version: configuration, ...rest } = proof;
    link.send({ kind: "proof", ...rest, configuration, version: NEVER_KNOWN });
  }

  function tell(except?: VmLink): void {
    const nowMs = clock.monotonicMs();
    if (!parts.isNeeded() || nowMs - toldAtMs < TELL_PAUSE_MS) return;
    toldAtMs = nowMs;
    links.forEach((link) => {
      if (link !== except) answer(link);
    });
  }

  return {
    makeQuestion() {
      if (!parts.isNeeded()) return {};
      const stamp = knowledge.makeStamp();
      const ageMs = knowledge.getAgeMs();
      return ageMs === Infinity ? { stamp } : { stamp, knowledgeAgeMs: ageMs };
    },
    receiveQuestion(link, { stamp, knowledgeAgeMs = Infinity }) {
      if (stamp === undefined) return;
      questions.set(link, { stamp, arrivedAt: knowledge.getInstant() });
      const isLate = knowledgeAgeMs > HELPED_AGE_MS;
      const gainMs = knowledgeAgeMs - knowledge.getAgeMs();
      if (isLate && gainMs > HELPING_GAIN_MS) answer(link);
    },
    receiveProof(link, { configuration, ageMs, stamp, heldMs }) {
      if (configuration === undefined) return;
      const proof = { version: configuration, ageMs, stamp, heldMs };
      const isNews = knowledge.recordProof(proof);
      if (isNews && parts.isRelay()) tell(link);
    },
    tell,
  };
}
