import { createFakeEngine } from "@auburnarch/fakes/createFakeEngine";
import { createFakeObjectStore } from "@auburnarch/fakes/createFakeObjectStore";
import { createFakePlainService } from "@auburnarch/fakes/createFakePlainService";
import { createFakeScoring } from "@auburnarch/fakes/createFakeScoring";
import { createFakeVmList } from "@auburnarch/fakes/createFakeVmList";
import { createFakeWeightStore } from "@auburnarch/fakes/createFakeWeightStore";
import type { FakeEngineControl } from "@auburnarch/fakes/FakeEngineControl";
import type { FakePlainServiceControl } from "@auburnarch/fakes/FakePlainServiceControl";
import { serveEngine } from "@auburnarch/fakes/serveEngine";
import { serveObjectStore } from "@auburnarch/fakes/serveObjectStore";
import { servePlainService } from "@auburnarch/fakes/servePlainService";
import { serveScoring } from "@auburnarch/fakes/serveScoring";
import { serveVmList } from "@auburnarch/fakes/serveVmList";
import { serveWeightStore } from "@auburnarch/fakes/serveWeightStore";
import type { SamplerId } from "@auburnarch/types/SamplerId";
import type { ServiceId } from "@auburnarch/types/ServiceId";
import type { WeightVersion } from "@auburnarch/types/WeightVersion";
import type { ExternalFakes } from "./ExternalFakes.js";
import type { ExternalFakesPlan } from "./ExternalFakesPlan.js";
import type { ProcessContext } from "./ProcessContext.js";

const vmListLagMs = 2_000;
const scoringLatencyMs = 2;
const transferMs = 100;
const firstVersion = 0 as WeightVersion;

interface FakeServer {
    port: number;
    close(): Promise<void>;
}

const urlOf = ({ port }: FakeServer): string => `http://127.0.0.1:${port}`;

/** Starts fakes of all external systems on loopback, with one backend server for each sampler of the manifest. */
export async function startExternalFakes(
    plan: ExternalFakesPlan,
    context: ProcessContext,
): Promise<ExternalFakes> {
    const { clock, random } = context;
    const { manifest } = plan;
    const servers: FakeServer[] = [];

    async function serve(started: Promise<FakeServer>): Promise<string> {
        const server = await started;
        servers.push(server);
        return urlOf(server);
    }

    const { store, control: storeControl } = createFakeObjectStore({ clock, random: random.fork() });
    const { vmList, control: vms } = createFakeVmList({ clock, lagMs: vmListLagMs });
    const policiesOf = (service: ServiceId) =>
        manifest.jobs.filter(job => job.service === service).map(job => ({
            policy: job.policy,
            version: firstVersion,
        }));

    const engines = new Map<SamplerId, FakeEngineControl>();
    const engineUrls = new Map<SamplerId, string>();
    const backends = new Map<SamplerId, FakePlainServiceControl>();
    const backendUrls = new Map<SamplerId, string>();
    for (const { sampler, service } of manifest.samplers) {
        const kind = manifest.services.find(each => each.service === service)?.kind;
        if (kind === "rollout") {
            const { engine, control } = createFakeEngine({
                clock,
                random: random.fork(),
                served: policiesOf(service),
                tokensPerSecond: plan.tokensPerSecond,
                swapMs: plan.swapMs,
            });
            engines.set(sampler, control);
            engineUrls.set(sampler, await serve(serveEngine(engine)));
        }
        else {
            const { backend, control } = createFakePlainService({ clock, latencyMs: plan.plainLatencyMs });
            backends.set(sampler, control);
            backendUrls.set(sampler, await serve(servePlainService(backend)));
        }
    }

    return {
        objectApiUrl: await serve(serveObjectStore(store)),
        vmListUrl: await serve(serveVmList(vmList)),
        weightStoreUrl: await serve(
            serveWeightStore(createFakeWeightStore({ clock, transferMs }).weightStore),
        ),
        scoringUrl: await serve(
            serveScoring(createFakeScoring({ clock, latencyMs: scoringLatencyMs }).scoring),
        ),
        engineUrls,
        backendUrls,
        store,
        storeControl,
        engines,
        backends,
        addVm: vms.add,
        close: async () => {
            await Promise.all(servers.map(handle => handle.close()));
        },
    };
}
