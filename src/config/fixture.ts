/**
 * Configuration documents for tests.
 *
 * @module
 */

/** Name of the service in the test document. */
export const TEST_SERVICE = "enrol";

/**
 * @param changes Fields that replace those of a service with one backend server.
 * @returns Text of the service's document: JSON with a comment.
 */
export function makeServiceText(changes: Record<string, unknown> = {}): string {
  const document = {
    service: TEST_SERVICE,
    regions: ["thies"],
    backendServers: [{
      id: "enrol-1",
      failureDomain: "thies-1",
      address: "127.0.0.1:8000",
      slots: 3,
    }],
    shiftCap: { maxShare: 0.1, windowS: 10 },
    classes: [{ name: "lookup", methods: ["GET"], idempotent: true }],
    ...changes,
  };
  return `// a comment\n${JSON.stringify(document, null, 2)}\n`;
}
