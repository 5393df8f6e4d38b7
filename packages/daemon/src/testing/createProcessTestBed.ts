import type { FailureDomain } from "@auburnarch/types/FailureDomain";
import type { Manifest } from "@auburnarch/types/Manifest";
import type { Region } from "@auburnarch/types/Region";
import type { SamplerManifest } from "@auburnarch/types/SamplerManifest";
import type { VmId } from "@auburnarch/types/VmId";
import type { ChildProcess } from "node:child_process";
import { mkdtemp, open, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { ExternalFakes } from "../ExternalFakes.js";
import type { ProcessContext } from "../ProcessContext.js";
import { startExternalFakes } from "../startExternalFakes.js";
import { spawnDaemon } from "./spawnDaemon.js";

const token = "a token of the process tests, long enough";
const testBedFailureDomain = "Lugo" as FailureDomain;

interface TestBedProcess {
    name: string;
    address: string;
    settingsPath: string;
    logPath: string;
    child: ChildProcess;
    /** Resolves with the exit code or the name of the signal. */
    ended: Promise<number | string>;
}

interface ProcessTestBed {
    externalFakes: ExternalFakes;
    operatorToken: string;
    startEntry(name: string): Promise<TestBedProcess>;
    startSidecar(sampler: SamplerManifest): Promise<TestBedProcess>;
    /** Kills the remaining processes and removes their folder. */
    close(): Promise<void>;
}

/** Runs entries and sidecars as separate processes on loopback; the fakes run in the process of the test. */
export async function createProcessTestBed(
    manifest: Manifest,
    context: ProcessContext,
): Promise<ProcessTestBed> {
    const folder = await mkdtemp(join(tmpdir(), "auburnarch-bed-"));
    const externalFakes = await startExternalFakes(
        { manifest, region: "norte", entries: 0, tokensPerSecond: 200, swapMs: 50, plainLatencyMs: 5 },
        context,
    );
    const manifestPath = join(folder, "manifest.json");
    await writeFile(manifestPath, JSON.stringify(manifest));
    const processes: TestBedProcess[] = [];

    async function start(name: string, own: Record<string, unknown>): Promise<TestBedProcess> {
        const settings = {
            name,
            vm: `vm-${name}`,
            failureDomain: testBedFailureDomain,
            region: "norte",
            listenHost: "127.0.0.1",
            listenPort: 0,
            objectApiUrl: externalFakes.objectApiUrl,
            vmListUrl: externalFakes.vmListUrl,
            weightStoreUrl: externalFakes.weightStoreUrl,
            clusterToken: token,
            leaseTtlMs: 2_000,
            shutdownDeadlineMs: 20_000,
            seeds: processes.filter(each => each.name.startsWith("entry")).map(each => each.address),
            ...own,
        };
        const settingsPath = join(folder, `${name}.json`);
        const logPath = join(folder, `${name}.log`);
        await writeFile(settingsPath, JSON.stringify(settings));
        const log = await open(logPath, "w");
        const { child, ended, waitForPrinted } = spawnDaemon(["run", "--settings", settingsPath], log.fd);
        await log.close();
        const address = await waitForPrinted(/ listens at (http:\S+)$/u);
        const started = { name, address, settingsPath, logPath, child, ended };
        processes.push(started);
        return started;
    }

    return {
        externalFakes,
        operatorToken: token,
        startEntry: async name => {
            const entry = await start(name, {
                role: "entry",
                scoringUrl: externalFakes.scoringUrl,
                cursorKey: token,
                operatorToken: token,
                manifestPath,
            });
            const { address } = entry;
            externalFakes.addVm({
                vm: `vm-${name}` as VmId,
                address,
                failureDomain: testBedFailureDomain,
                region: "norte" as Region,
                role: "entry",
                sampler: undefined,
                state: "live",
            });
            return entry;
        },
        startSidecar: ({ sampler, service }) =>
            start(`sidecar-${sampler}`, {
                role: "sidecar",
                sampler,
                service,
                engineUrl: externalFakes.engineUrls.get(sampler),
                backendUrl: externalFakes.backendUrls.get(sampler),
            }),
        close: async () => {
            processes.forEach(({ child }) => child.kill("SIGKILL"));
            await Promise.all(processes.map(each => each.ended));
            await externalFakes.close();
            await rm(folder, { recursive: true, force: true });
        },
    };
}
