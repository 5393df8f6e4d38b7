import type { Agent, AgentOptions, IncomingMessage, Server, ServerOptions } from "node:http";

/** How a process proves itself to the system's other processes by its certificate, and tells theirs. */
export interface Trust {
    /** An HTTPS server that asks callers for a certificate and takes them without one too. */
    createServer(options: ServerOptions): Server;
    /** An agent that connects with the certificate of the moment, and only to servers of the authority. */
    createAgent(options: AgentOptions): Agent;
    /** True if the request came over a connection whose other end has a certificate of the authority. */
    isPeer(request: IncomingMessage): boolean;
    /** Ends the watch over the files. */
    stop(): void;
}
