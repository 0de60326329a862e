/**
 * Forwards requests through an entry: handles the idempotency key, selects a
 * region and a failure domain, then runs the request on the backend servers of
 * the entry's own failure domain or hands it over to another entry.
 *
 * @module
 */
import type { ServiceDocument } from "../config/schema.ts";
import type { ControlAgent } from "../control/types.ts";
import { isDomainDrained } from "../draining/drain_status.ts";
import { LOAD_REFRESH_MS } from "../measurement/state.ts";
import type { Member } from "../membership/types.ts";
import type { Clock } from "../runtime/clock.ts";
import { hashToHex } from "../runtime/hash_hex.ts";
import type { Random } from "../runtime/random.ts";
import { findLink, getDelayMs } from "../steering/estimate.ts";
import { pickRegion, rankDomains } from "../steering/place.ts";
import type { Steering } from "../steering/steering.ts";
import { createExchangeCancellation } from "./exchange_cancellation.ts";
import type { KeyRegistry } from "./key_registry.ts";
import { getKeyEpoch, type IdempotencyKey } from "./keys.ts";
import type { LinkLimiter } from "./link_limiter.ts";
import type { LocalRunner } from "./local_runner.ts";
import { createOutcomeFactory } from "./outcomes.ts";
import type {
  HandoverMode,
  HandoverResult,
  PeerClient,
} from "./peer_client.ts";
import type { ForwardRequest, Outcome } from "./types.ts";

/** Maximum number of hand-overs of a request between entries. */
const MAX_HOPS = 2;
/** Maximum number of failure domains tried for one request. */
const MAX_DOMAINS = 3;
/** Requests are not handed over to peers at or above this utilization. */
const MAX_PEER_UTILIZATION = 0.85;
/** Older load reports of peers are ignored: the next report was missed. */
const MAX_LOAD_AGE_MS = LOAD_REFRESH_MS * 1.5;
/** Approximate size of the headers of a request and its answer, in bytes. */
const HEADER_BYTES = 900;

/** Dependencies of a request forwarder. */
export interface RequestForwarderOptions {
  agent: ControlAgent;
  steering: Steering;
  runner: LocalRunner;
  peers: PeerClient;
  links: LinkLimiter;
  registry: KeyRegistry;
  clock: Clock;
  random: Random;
}

/** Forwards requests to backend servers or to other entries. */
export interface RequestForwarder {
  /**
   * Handles a caller's request, or a request handed over because this entry owns
   * its key.
   *
   * @param document Document of the service.
   * @param request The request.
   * @returns How the request ended.
   */
  handle(document: ServiceDocument, request: ForwardRequest): Promise<Outcome>;
  /**
   * Runs a request that another entry routed to this failure domain.
   *
   * @param document Document of the service.
   * @param request The request.
   * @returns How the request ended.
   */
  runLocally(
    document: ServiceDocument,
    request: ForwardRequest,
  ): Promise<Outcome>;
  /**
   * @returns Resolves as soon as no request is in progress. At-most-once requests
   *   are in progress until they have ended, also after their caller has left.
   */
  waitUntilIdle(): Promise<void>;
}

/**
 * @param options Dependencies.
 * @returns A forwarder for the entry `options.agent.self`.
 */
export function createRequestForwarder(
  options: RequestForwarderOptions,
): RequestForwarder {
  const { agent, steering, runner, peers, links, registry, clock, random } =
    options;
  const { notRun, unknown } = createOutcomeFactory(random);
  const { self } = agent;
  const unfinished = new Set<Promise<Outcome>>();

  function track(pending: Promise<Outcome>): Promise<Outcome> {
    unfinished.add(pending);
    const remove = () => void unfinished.delete(pending);
    pending.then(remove, remove);
    return pending;
  }

  async function waitUntilIdle(): Promise<void> {
    while (unfinished.size > 0) await Promise.allSettled(unfinished);
  }

  function handle(
    document: ServiceDocument,
    request: ForwardRequest,
  ): Promise<Outcome> {
    const { key } = request;
    if (key === undefined) return track(routeToDomain(document, request));
    const isOwn = key.vmId === self.vmId &&
      key.incarnation === self.incarnation;
    const pending = isOwn
      ? runOwnKey(document, request, key)
      : forwardToOwner(request, key);
    return resolveByDeadline(track(pending), request);
  }

  function runOwnKey(
    document: ServiceDocument,
    request: ForwardRequest,
    key: IdempotencyKey,
  ): Promise<Outcome> {
    const fingerprint = hashToHex(
      `${request.service} ${request.method} ${request.path} ` +
        request.body.toString("latin1"),
    );
    const epoch = getKeyEpoch(clock.now().getTime());
    const result = registry.begin(key, fingerprint, epoch);
    switch (result.decision) {
      case "run":
        return runOnce(document, request, key);
      case "replay":
        return result.outcome;
      case "mismatch":
        return Promise.resolve(
          notRun("The key was used with another request", 0),
        );
      case "expired":
        return Promise.resolve(
          unknown("The key's epoch is not accepted"),
        );
      case "full":
        return Promise.resolve(
          notRun("Too many keys are remembered", 5_000),
        );
    }
  }

  async function runOnce(
    document: ServiceDocument,
    request: ForwardRequest,
    key: IdempotencyKey,
  ): Promise<Outcome> {
    let outcome: Outcome = unknown("It failed inside this entry");
    try {
      outcome = await routeToDomain(document, request);
    } finally {
      registry.finish(key, outcome);
    }
    return outcome;
  }

  /** Only the entry that owns a key can prove that its request did not run. */
  async function forwardToOwner(
    request: ForwardRequest,
    key: IdempotencyKey,
  ): Promise<Outcome> {
    const owner = agent.members().find(({ member }) =>
      member.role === "entry" && member.vmId === key.vmId &&
      member.incarnation === key.incarnation
    );
    if (owner === undefined || request.hops > 0) {
      return unknown("The entry that owns the key is gone");
    }
    const result = await handOver(owner.member, "own", request);
    if (result.kind === "outcome") return result.outcome;
    return unknown(`The entry that owns the key did not answer`);
  }

  function routeToDomain(
    document: ServiceDocument,
    request: ForwardRequest,
  ): Promise<Outcome> {
    const placement = {
      service: request.service,
      block: request.block,
      row: steering.getWeightRow(request.service, request.callerRegion),
      regionOf: agent.config().regionOf,
    };
    const region = pickRegion(placement);
    if (region === undefined) {
      return Promise.resolve(
        notRun("No region is planned for these callers", 1_000),
      );
    }
    const domains = listDomains(document, region);
    const ranked = [
      ...rankDomains(placement, domains.open),
      ...rankDomains(placement, domains.drained),
    ].slice(0, MAX_DOMAINS);
    if (ranked.length === 0) {
      return Promise.resolve(
        notRun(`No entry of region ${region} can be reached`, 1_000),
      );
    }
    return tryDomains(document, request, ranked);
  }

  /** Drained failure domains are used only after all others. */
  function listDomains(document: ServiceDocument, region: string) {
    const context = {
      wallMs: clock.now().getTime(),
      regionOf: agent.config().regionOf,
    };
    const reachable = new Set(
      listEntries(region).map((member) => member.failureDomain),
    );
    const withServers = new Set(
      document.backendServers.map((server) => server.failureDomain),
    );
    const usable = [...reachable].filter((domain) => withServers.has(domain));
    const isDrained = (domain: string) =>
      isDomainDrained(document, domain, context);
    return {
      open: usable.filter((domain) => !isDrained(domain)),
      drained: usable.filter(isDrained),
    };
  }

  function listEntries(region: string): Member[] {
    return agent.serving("entry").filter((member) => member.region === region);
  }

  /** Tries the next domain only if the request provably did not run. */
  async function tryDomains(
    document: ServiceDocument,
    request: ForwardRequest,
    domains: readonly string[],
  ): Promise<Outcome> {
    let last: Outcome = notRun("No failure domain took it", 1_000);
    for (const domain of domains) {
      last = domain === self.failureDomain
        ? await runLocally(document, request)
        : await sendToDomain(domain, request);
      const hasTime = clock.monotonicMs() < request.deadlineMs;
      if (last.kind !== "not_run" || !hasTime) return last;
    }
    return last;
  }

  async function runLocally(
    document: ServiceDocument,
    request: ForwardRequest,
  ): Promise<Outcome> {
    if (!runner.hasFreeSlot(document) && request.hops < MAX_HOPS) {
      const peer = findPeerWithCapacity();
      if (peer) {
        const result = await handOver(peer, "run", {
          ...request,
          hops: MAX_HOPS,
        });
        const outcome = toOutcome(result);
        if (outcome.kind !== "not_run") return outcome;
      }
    }
    return runner.run(document, request);
  }

  /**
   * Finds the least utilized entry of the own failure domain. Requests move to
   * entries with free slots; the slots of an entry are never lent to others.
   */
  function findPeerWithCapacity(): Member | undefined {
    const nowMs = clock.monotonicMs();
    const candidates = agent.serving("entry")
      .filter((member) =>
        member.failureDomain === self.failureDomain && member.id !== self.id
      )
      .flatMap((member) => {
        const report = agent.loads().get(member.id);
        if (!report || nowMs - report.receivedMs > MAX_LOAD_AGE_MS) return [];
        const { utilization } = report.load;
        return utilization < MAX_PEER_UTILIZATION
          ? [{ member, utilization }]
          : [];
      })
      .sort((a, b) => a.utilization - b.utilization);
    return candidates[0]?.member;
  }

  async function sendToDomain(
    domain: string,
    request: ForwardRequest,
  ): Promise<Outcome> {
    const region = agent.config().regionOf.get(domain) ?? domain;
    if (!hasLinkCapacity(region)) {
      return notRun(`The link to region ${region} is full`, 1_000);
    }
    const candidates = listEntries(region)
      .filter((member) => member.failureDomain === domain);
    const start = Math.floor(random() * candidates.length);
    let last: Outcome = notRun(
      `No entry of ${domain} took it`,
      1_000,
    );
    for (let index = 0; index < candidates.length; index++) {
      const member = candidates[(start + index) % candidates.length];
      const result = await handOver(member, "run", request);
      last = toOutcome(result);
      if (result.kind !== "not_sent") break;
    }
    countLinkBytes(region, request, last);
    return last;
  }

  function getLinkLimitShare(region: string): number {
    const fleet = agent.config().fleet!.document;
    const link = findLink(fleet, self.region, region);
    const { regionOf } = agent.config();
    const vmCount = fleet.entryVms
      .filter((vm) => regionOf.get(vm.failureDomain) === self.region).length;
    return (link?.limitBytesPerS ?? 0) / Math.max(1, vmCount);
  }

  function hasLinkCapacity(region: string): boolean {
    if (region === self.region) return true;
    return links.hasCapacity(
      region,
      getLinkLimitShare(region),
      clock.monotonicMs(),
    );
  }

  function countLinkBytes(
    region: string,
    request: ForwardRequest,
    outcome: Outcome,
  ): void {
    if (region === self.region) return;
    const answerBytes = outcome.kind === "answer"
      ? outcome.answer.body.length
      : 0;
    links.count(region, request.body.length + answerBytes + HEADER_BYTES);
  }

  function handOver(
    member: Member,
    mode: HandoverMode,
    request: ForwardRequest,
  ): Promise<HandoverResult> {
    const fleet = agent.config().fleet!.document;
    const vm = fleet.entryVms.find(({ id }) => id === member.vmId);
    if (vm === undefined) {
      const reason = `No VM is named ${member.vmId}`;
      return Promise.resolve({ kind: "not_sent", reason });
    }
    const oneWayMs = getDelayMs(fleet, self.region, member.region);
    const cancellation = createExchangeCancellation(request, clock);
    return peers.handOver({
      address: vm.entry.peer,
      mode,
      request,
      remainingMs: cancellation.remainingMs - 2 * oneWayMs,
      signal: cancellation.signal,
    }).finally(cancellation.release);
  }

  function toOutcome(result: HandoverResult): Outcome {
    if (result.kind === "outcome") return result.outcome;
    if (result.kind === "not_sent") return notRun(result.reason, 1_000);
    return unknown(result.reason);
  }

  /**
   * Resolves as unknown at the deadline. The request goes on, and its late answer
   * is still stored under its key.
   */
  function resolveByDeadline(
    pending: Promise<Outcome>,
    request: ForwardRequest,
  ): Promise<Outcome> {
    return new Promise((resolve, reject) => {
      const timer = clock.after(
        Math.max(0, request.deadlineMs - clock.monotonicMs()),
        () => resolve(unknown("No answer before the deadline")),
      );
      pending.then(resolve, reject).finally(() => timer.cancel());
    });
  }

  return {
    handle,
    runLocally: (document, request) => track(runLocally(document, request)),
    waitUntilIdle,
  };
}
