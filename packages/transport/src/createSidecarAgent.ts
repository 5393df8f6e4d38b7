import { Agent, type AgentOptions } from "node:http";

const poolName = "sidecar";

/** Creates an agent that keeps connections to a single host open; the most recently used one is reused first. */
export function createSidecarAgent(
    maxIdleConnections: number,
    createAgent: (options: AgentOptions) => Agent = options => new Agent(options),
): Agent {
    const agent = createAgent({ keepAlive: true, maxFreeSockets: maxIdleConnections, scheduling: "lifo" });
    // By default Node builds the name of the connection pool several times per request.
    agent.getName = () => poolName;
    return agent;
}
