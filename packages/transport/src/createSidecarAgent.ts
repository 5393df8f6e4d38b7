import { Agent, type AgentOptions } from "node:http";

const poolName = "sidecar";

/** Makes an agent for connections to a single host, which are kept open and reused, the latest used first. */
export function createSidecarAgent(
    maxIdleConnections: number,
    createAgent: (options: AgentOptions) => Agent = options => new Agent(options),
): Agent {
    const agent = createAgent({ keepAlive: true, maxFreeSockets: maxIdleConnections, scheduling: "lifo" });
    // Node otherwise builds the name of the host's pool anew for each request, several times.
    agent.getName = () => poolName;
    return agent;
}
