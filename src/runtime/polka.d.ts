/** Types of the parts of polka in use; the package ships none. */
declare module "polka" {
  import type { IncomingMessage, Server, ServerResponse } from "node:http";

  /** A request as polka's router passes it to handlers. */
  export interface Request extends IncomingMessage {
    params: Record<string, string>;
    path: string;
    query: Record<string, string | string[]>;
    originalUrl: string;
  }
  type Next = (error?: unknown) => void;
  /** A route or middleware. */
  export type Handler = (
    request: Request,
    response: ServerResponse,
    next: Next,
  ) => void | Promise<void>;
  /** A router and the server that it is attached to. */
  export interface Polka {
    use(...handlers: Handler[]): Polka;
    get(path: string, handler: Handler): Polka;
    put(path: string, handler: Handler): Polka;
    post(path: string, handler: Handler): Polka;
    all(path: string, handler: Handler): Polka;
    handler(request: IncomingMessage, response: ServerResponse): void;
    server: Server;
  }
  export default function polka(options?: {
    onError?: (
      error: Error & { status?: number },
      request: Request,
      response: ServerResponse,
      next: Next,
    ) => void;
    onNoMatch?: (request: Request, response: ServerResponse) => void;
  }): Polka;
}
