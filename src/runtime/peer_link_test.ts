/**
 * Tests of links between processes: connections that open no link.
 */
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { connect } from "node:net";
import process from "node:process";
import * as assert from "uvu/assert";
import { suite } from "uvu";
import * as z from "zod";
import { createSystemClock, pause } from "./clock.ts";
import { createRouter, listen } from "./http_server.ts";
import { acceptLinks, PEER_PATH } from "./peer_link.ts";

/** Connections, few of which are reset exactly when they are answered. */
const CONNECTIONS = 100;
const UPGRADE_REQUEST = `GET ${PEER_PATH} HTTP/1.1\r\nhost: test\r\n` +
  "connection: upgrade\r\nupgrade: websocket\r\nsec-websocket-version: 13\r\n" +
  `sec-websocket-key: ${Buffer.alloc(16).toString("base64")}\r\n\r\n`;

const test = suite("peer link");

test("a client without the key that resets its connection doesn't end the process", async () => {
  const http = await listen(createRouter(), "127.0.0.1:0");
  acceptLinks(http.server, {
    key: "0123456789abcdef",
    schema: z.object({ kind: z.string() }),
    events: { onOpen() {}, onMessage() {}, onClose() {} },
  });
  const uncaught: string[] = [];
  const record = ({ message }: Error) => void uncaught.push(message);
  process.on("uncaughtException", record);
  const [host, port] = http.address.split(":");
  for (let count = 0; count < CONNECTIONS; count++) {
    const socket = connect(Number(port), host);
    socket.on("error", () => {});
    await once(socket, "connect");
    socket.write(UPGRADE_REQUEST);
    socket.resetAndDestroy();
  }
  await pause(createSystemClock(), 100);
  process.off("uncaughtException", record);
  await http.close();
  assert.equal(uncaught, []);
});

test.run();
