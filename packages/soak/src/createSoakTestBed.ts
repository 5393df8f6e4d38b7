import { createPlatformWrites } from "@auburnarch/platform/testing/createPlatformWrites";
import { encodeTestConfiguration } from "@auburnarch/platform/testing/encodeTestConfiguration";
import { findFreePort } from "@auburnarch/platform/testing/findFreePort";
import type { RequestFate } from "@auburnarch/platform/testing/RequestFate";
import { serveFakePlatformStore } from "@auburnarch/platform/testing/serveFakePlatformStore";
import { serveFakeUsageReports } from "@auburnarch/platform/testing/serveFakeUsageReports";
import type { Clock } from "@auburnarch/types/Clock";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createLinkProxy } from "./createLinkProxy.js";
import { createProgram } from "./createProgram.js";
import { createSamplerSlots } from "./createSamplerSlots.js";
import type { LinkProxy } from "./LinkProxy.js";
import type { Program } from "./Program.js";
import { soakTeam } from "./soakTeam.js";
import type { SoakTestBed } from "./SoakTestBed.js";

interface SoakTestBedOptions {
    gateways: number;
    runners: number;
    modelSamplers: number;
    plainSamplers: number;
    models: string[];
    /** What happens to a plain request with this body; all are answered by default. */
    fateOf?: (body: string) => RequestFate;
    /** Further settings of the programs of a role. */
    extraSettings?: (role: Program["role"]) => Record<string, unknown>;
}

const tenants = [{ "name": soakTeam.name, "api-keys": [soakTeam.key] }];
/** Links from one program to the store, of which its settings file names one. */
const linksToStore = 2;

function createLinks(clock: Clock, targetPort: number): Promise<LinkProxy[]> {
    return Promise.all(Array.from({ length: linksToStore }, () => createLinkProxy(clock, () => targetPort)));
}

/** Starts the fakes and the programs of one run, with links from each program to the store and to each sampler. */
export async function createSoakTestBed(clock: Clock, options: SoakTestBedOptions): Promise<SoakTestBed> {
    const { models } = options;
    const folder = await mkdtemp(join(tmpdir(), "auburnarch-soak-"));
    const store = await serveFakePlatformStore();
    const usageReports = await serveFakeUsageReports();
    const writes = createPlatformWrites(store);
    const storeLinks = new Map<string, LinkProxy[]>();
    const programs: Program[] = [];
    const versions = new Map(models.map(model => [model, 1]));
    const configVersions = [1];
    const samplerSlots = createSamplerSlots({ ...options, clock, writes, versions });

    function publishConfiguration(): void {
        const version = configVersions.at(-1)!;
        const extraRoutes = configVersions.map(each => `v${each}`);
        writes.configure(encodeTestConfiguration({ version, models, extraRoutes, tenants }));
    }

    async function startProgram(name: string, role: Program["role"]): Promise<Program> {
        const links = await createLinks(clock, store.port);
        storeLinks.set(name, links);
        const program = await createProgram(clock, {
            name,
            role,
            folder,
            storePorts: links.map(link => link.port),
            usagePort: usageReports.port,
            clientPort: await findFreePort(),
            readyPort: await findFreePort(),
            internalPort: await findFreePort(),
            extraSettings: options.extraSettings?.(role),
        });
        programs.push(program);
        program.start();
        return program;
    }

    publishConfiguration();
    const slots: SoakTestBed["slots"] = [];
    for (let index = 0; index < options.modelSamplers + options.plainSamplers; index++) {
        slots.push(await samplerSlots.create(index, index < options.modelSamplers ? "llm" : "tiles"));
    }
    const gateways: Program[] = [];
    for (let index = 1; index <= options.gateways; index++) {
        gateways.push(await startProgram(`front-${index}`, "gateway"));
    }
    for (let index = 1; index <= options.runners; index++) {
        await startProgram(`storage-${index}`, "runner");
    }

    return {
        models,
        eventsPerItem: samplerSlots.eventsPerItem,
        store,
        usageReports,
        gateways,
        programs,
        storeLinks,
        slots,
        samplers: samplerSlots.samplers,
        leftAtMs: samplerSlots.leftAtMs,
        versions,
        nameVersion: (model, version) => {
            versions.set(model, version);
            writes.nameVersion(model, version);
        },
        configVersion: () => configVersions.at(-1)!,
        changeConfiguration: () => {
            configVersions.push(configVersions.at(-1)! + 3);
            publishConfiguration();
        },
        close: async () => {
            samplerSlots.stop();
            await Promise.all(programs.map(program => program.end("SIGKILL")));
            const links = [...[...storeLinks.values()].flat(), ...slots.map(slot => slot.link)];
            [...links, ...samplerSlots.samplers, store, usageReports].forEach(each => each.close());
            await rm(folder, { recursive: true, force: true });
        },
    };
}
