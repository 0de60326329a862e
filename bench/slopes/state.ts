/**
 * Measures the memory of the state that processes hold.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createKeyRegistry } from "../../src/forwarding/key_registry.ts";
import { parseKey } from "../../src/forwarding/keys.ts";
import { observeMembers, recordHeartbeat } from "../../src/membership/logic.ts";
import { createMembershipState } from "../../src/membership/state.ts";
import { applyChanges, createReplicaState } from "../../src/replica/logic.ts";
import type { Row } from "../report.ts";
import { makeRow, measureBytes, measureTimeUs } from "./points.ts";
import { makeMember } from "./members.ts";

/** @returns Results for state. */
export function measureState(): Row[] {
  const members = [100, 500, 1_300, 2_600];
  const fill = (size: number) => {
    const state = createMembershipState(makeMember(0));
    for (let index = 1; index <= size; index++) {
      recordHeartbeat(
        state,
        { member: makeMember(index), throughVersion: 1 },
        0,
      );
    }
    return state;
  };
  const keys = [5_000, 20_000, 50_000, 100_000];
  const documents = [100, 500, 1_000, 1_900];
  return [
    makeRow(
      "memory of membership",
      "bytes a member",
      members.map((size) => ({ size, value: measureBytes(() => fill(size)) })),
    ),
    makeRow(
      "judging all members",
      "us, against members",
      members.map((size) => {
        const state = fill(size);
        return {
          size,
          value: measureTimeUs(50, () => void observeMembers(state, 1)),
        };
      }),
    ),
    makeRow(
      "memory of remembered keys, 300-byte answers",
      "bytes a key",
      keys.map((size) => ({
        size,
        value: measureBytes(() => {
          const registry = createKeyRegistry();
          for (let index = 0; index < size; index++) {
            const key = parseKey(`vm-1.1.1.key-${10_000_000 + index}`)!;
            registry.begin(key, "0123456789abcdef", 1);
            const body = Buffer.alloc(300);
            const answer = {
              status: 200,
              contentType: "text/plain",
              body,
              serverId: "s",
            };
            registry.finish(key, { kind: "answer", answer });
          }
          return registry;
        }),
      })),
    ),
    makeRow(
      "memory of replicated rows of 2 kB",
      "bytes a row",
      documents.map((size) => ({
        size,
        value: measureBytes(() => {
          const replica = createReplicaState();
          applyChanges(replica, {
            afterVersion: 0,
            throughVersion: size,
            rows: Array.from({ length: size }, (_, index) => ({
              key: `config/service/${index}`,
              version: index + 1,
              writeId: "w",
              value: Buffer.alloc(2_000, 97 + index % 20).toString("latin1"),
            })),
          });
          return replica;
        }),
      })),
    ),
  ];
}
