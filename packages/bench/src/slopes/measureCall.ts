import { Agent, createServer, request as startRequest } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { CallCost } from "./CallCost.js";

const warmUpCalls = 300;
const measuredCalls = 2_000;

/** Length of a request and of its answer as exchanged between entries in the steady state. */
const messageChars = 250;

async function readAll(stream: AsyncIterable<unknown>): Promise<string> {
    const parts: Buffer[] = [];
    for await (const part of stream) {
        parts.push(part as Buffer);
    }
    return Buffer.concat(parts).toString("utf8");
}

const rpcBody = (fields: object): string => JSON.stringify({ jsonrpc: "2.0", id: 12_345, ...fields });

/**
 * Measures calls to a loopback server over keep-alive connections with a bearer token and a JSON-RPC envelope, as
 * entries use.
 */
export async function measureCall(): Promise<CallCost> {
    const params = { filler: "x".repeat(messageChars) };
    const answer = rpcBody({ result: params });
    const server = createServer((request, response) => {
        void readAll(request).then(text => {
            JSON.parse(text);
            response.writeHead(200, {
                "content-type": "application/json",
                "content-length": Buffer.byteLength(answer),
            });
            response.end(answer);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    let socket: Socket | undefined;

    async function callOnce(): Promise<void> {
        const body = rpcBody({ method: "gossip", params });
        const headers = {
            "authorization": `Bearer ${"t".repeat(40)}`,
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
        };
        const text = await new Promise<string>((resolve, reject) => {
            const request = startRequest({
                port,
                host: "127.0.0.1",
                path: "/rpc",
                method: "POST",
                agent,
                headers,
            });
            request.on("response", response => {
                socket = response.socket;
                readAll(response).then(resolve, reject);
            });
            request.on("error", reject);
            request.end(body);
        });
        JSON.parse(text);
    }

    for (let call = 0; call < warmUpCalls; call++) {
        await callOnce();
    }
    const bytesBefore = socket!.bytesWritten + socket!.bytesRead;
    const cpuBefore = process.cpuUsage();
    for (let call = 0; call < measuredCalls; call++) {
        await callOnce();
    }
    const cpu = process.cpuUsage(cpuBefore);
    const wireBytes = (socket!.bytesWritten + socket!.bytesRead - bytesBefore) / measuredCalls;
    agent.destroy();
    server.close();
    const jsonBytes = 2 * JSON.stringify(params).length;
    const cpuUs = (cpu.user + cpu.system) / measuredCalls;
    return {
        envelopeBytes: Math.round(wireBytes - jsonBytes),
        cpuUs: Math.round(cpuUs),
        calls: measuredCalls,
    };
}
