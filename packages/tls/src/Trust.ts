import type { Agent, AgentOptions, IncomingMessage, Server, ServerOptions } from "node:http";

/** Authenticates a process to the system's other processes by certificate, and verifies the certificates of these. */
export interface Trust {
    /** An HTTPS server that requests a client certificate but also accepts clients without one. */
    createServer(options: ServerOptions): Server;
    /** An agent that connects with the current certificate, and only to servers certified by the authority. */
    createAgent(options: AgentOptions): Agent;
    /** True if the client of the request's connection has a valid certificate of the authority. */
    isPeer(request: IncomingMessage): boolean;
    /** Stops watching the files. */
    stop(): void;
}
