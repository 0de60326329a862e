/**
 * Documents for tests.
 *
 * @module
 */

/** Service of the document that tests use. */
export const TEST_SERVICE = "enrol";

/**
 * @param changes Fields that differ from a service with one backend server.
 * @returns Its document, as an operator writes it.
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
