import { resultCodes } from "@auburnarch/errors/resultCodes";
import { ResultError } from "@auburnarch/errors/ResultError";
import type { Clock } from "@auburnarch/types/Clock";
import type { Logger } from "@auburnarch/types/Logger";
import type { AgentOptions, ServerOptions } from "node:http";
import { Agent, createServer, type Server } from "node:https";
import { createSecureContext, TLSSocket } from "node:tls";
import { checkMaterial } from "./checkMaterial.js";
import { readMaterial } from "./readMaterial.js";
import type { Trust } from "./Trust.js";
import type { TrustFiles } from "./TrustFiles.js";
import type { TrustMaterial } from "./TrustMaterial.js";

/** A new certificate is in use at the latest this long after its file was written. */
const pollMs = 10_000;
const minVersion = "TLSv1.3";

interface TrustDeps {
    clock: Clock;
    logger: Logger;
}

/** The method that Node's agent calls for a new connection; its type declarations omit it. */
interface ConnectingAgent {
    createConnection(options: object, done: unknown): unknown;
}

const isSameMaterial = (a: TrustMaterial, b: TrustMaterial): boolean =>
    a.cert === b.cert && a.key === b.key && a.ca === b.ca;

/**
 * Loads certificate, key and authority, and reloads them whenever the files change. Open connections keep the
 * certificate they were made with; new connections use the new one. If the files don't match, as in the middle of a
 * replacement, the previous ones stay in use: a process that used them would be cut off from all others.
 * Rejects with `settingsInvalid` if the files are unusable at startup.
 */
export async function createTrust(files: TrustFiles, { clock, logger }: TrustDeps): Promise<Trust> {
    const stopController = new AbortController();
    const servers = new Set<Server>();
    let material = await loadInitialMaterial(files);
    // Created once per set of files: parsing the PEM files takes most of the time of a handshake.
    let context = createSecureContext({ ...material, minVersion });
    let rejectedMaterial: TrustMaterial | undefined;
    logLoaded(material);

    function logLoaded(loaded: TrustMaterial): void {
        logger.info("certificateTaken", { validTo: checkMaterial(loaded).toISOString() });
    }

    function replaceMaterial(next: TrustMaterial): void {
        if (
            isSameMaterial(next, material)
            || (rejectedMaterial !== undefined && isSameMaterial(next, rejectedMaterial))
        ) {
            return;
        }
        try {
            checkMaterial(next);
            servers.forEach(server => server.setSecureContext({ ...next, minVersion }));
        }
        catch (error) {
            rejectedMaterial = next;
            logger.warn("certificateNotTaken", { fault: (error as Error).message });
            return;
        }
        material = next;
        context = createSecureContext({ ...next, minVersion });
        logLoaded(next);
    }

    async function watch(): Promise<void> {
        while (!stopController.signal.aborted) {
            await clock.sleep(pollMs, stopController.signal);
            // A file that can't be read is taken to be in the middle of a replacement.
            const next = await readMaterial(files).catch(() => undefined);
            if (next !== undefined && !stopController.signal.aborted) {
                replaceMaterial(next);
            }
        }
    }

    function makeServer(options: ServerOptions): Server {
        const tlsOptions = { requestCert: true, rejectUnauthorized: false, minVersion } as const;
        const server = createServer({ ...options, ...material, ...tlsOptions });
        servers.add(server);
        server.once("close", () => servers.delete(server));
        return server;
    }

    function makeAgent(options: AgentOptions): Agent {
        // A resumed TLS session would keep the certificate of the session before it.
        const agent = new Agent({ ...options, maxCachedSessions: 0 });
        const connectingAgent = agent as unknown as ConnectingAgent;
        const connect = connectingAgent.createConnection.bind(agent);
        connectingAgent.createConnection = (target, done) =>
            connect({ ...target, secureContext: context }, done);
        return agent;
    }

    void watch();
    return {
        createServer: makeServer,
        createAgent: makeAgent,
        isPeer: ({ socket }) => socket instanceof TLSSocket && socket.authorized,
        stop: () => stopController.abort(),
    };
}

async function loadInitialMaterial(files: TrustFiles): Promise<TrustMaterial> {
    try {
        const material = await readMaterial(files);
        checkMaterial(material);
        return material;
    }
    catch (error) {
        throw new ResultError(resultCodes.settingsInvalid, `tls: ${(error as Error).message}`);
    }
}
