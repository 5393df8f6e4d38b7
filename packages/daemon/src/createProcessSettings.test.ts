import type { LogFields } from "@auburnarch/types/LogFields";
import type { Logger } from "@auburnarch/types/Logger";
import { expect, test, vi } from "vitest";
import { createProcessSettings } from "./createProcessSettings.js";

const secret = "a secret of 32 characters or more";
const valid = {
    name: "sidecar-tile-1",
    role: "sidecar",
    vm: "tile-vm-1",
    failureDomain: "Lugo",
    region: "norte",
    sampler: "tile-1",
    service: "tiles",
    backendUrl: "http://127.0.0.1:8080",
    objectApiUrl: "http://127.0.0.1:9000",
    vmListUrl: "http://127.0.0.1:9001",
    clusterToken: secret,
};

function createFixture(flags: Record<string, string> = {}) {
    const state = { readText: async () => JSON.stringify(valid) };
    const lines: string[] = [];
    const record = (event: string, fields: LogFields = {}): void =>
        void lines.push(`${event} ${JSON.stringify(fields)}`);
    const logger: Logger = { info: record, warn: record, error: record, child: () => logger };
    const file = createProcessSettings({
        readText: () => state.readText(),
        flags,
        createLogger: () => logger,
    });
    const setText = (text: string) => void (state.readText = async () => text);
    const setSettings = (changes: object) => setText(JSON.stringify({ ...valid, ...changes }));
    return { state, lines, file, setText, setSettings };
}

test("a reload names what changed since the last one and what differs from the settings in force", async () => {
    const { lines, file, setSettings } = createFixture();
    await file.open();
    setSettings({ logLevel: "warn", leaseTtlMs: 20_000 });
    await file.reload();
    setSettings({ logLevel: "warn" });
    await file.reload();
    setSettings({});
    await file.reload();
    expect(lines).toEqual([
        'settingsReloaded {"changed":"logLevel,leaseTtlMs","atNextStart":"logLevel,leaseTtlMs"}',
        'settingsReloaded {"changed":"leaseTtlMs","atNextStart":"logLevel"}',
        'settingsReloaded {"changed":"logLevel","atNextStart":""}',
    ]);
});

test("a setting that a flag overrides does not count as changed", async () => {
    const { lines, file, setSettings } = createFixture({ logLevel: "error" });
    await file.open();
    setSettings({ logLevel: "warn" });
    await file.reload();
    expect(lines).toEqual(['settingsReloaded {"changed":"","atNextStart":""}']);
});

test("faults of each content are logged once and keep the previous settings", async () => {
    // Guards against a log full of the same fault, and against a file that is compared with an unusable one.
    const { lines, file, setText, setSettings } = createFixture();
    await file.open();
    setSettings({ leaseTtlMs: 5, objectApiUrl: undefined, clustrToken: secret });
    await file.reload();
    await file.reload();
    setText("[]");
    await file.reload();
    setSettings({ leaseTtlMs: 20_000 });
    await file.reload();
    expect(lines).toMatchInlineSnapshot(`
      [
        "settingsInvalid {"path":"objectApiUrl","message":"Missing; expected string."}",
        "settingsInvalid {"path":"leaseTtlMs","message":"Too small: expected number to be >=1000"}",
        "settingsInvalid {"path":"clustrToken","message":"Unknown key. Did you mean \\"clusterToken\\"?"}",
        "settingsInvalid {"path":"","message":"Invalid input: expected object, received array"}",
        "settingsReloaded {"changed":"leaseTtlMs","atNextStart":"leaseTtlMs"}",
      ]
    `);
});

test("a file that is half-written, empty or gone is a fault, and no part of it is logged", async () => {
    // Guards against secrets in the log: a parser quotes the text it can't read.
    const { state, lines, file, setText } = createFixture();
    await file.open();
    for (const text of [JSON.stringify(valid).slice(0, -10), `{"clusterToken":${secret}`, ""]) {
        setText(text);
        await file.reload();
        await file.reload();
    }
    state.readText = () => Promise.reject(new Error("ENOENT: no such file"));
    await file.reload();
    await file.reload();
    expect(lines).toMatchInlineSnapshot(`
      [
        "settingsInvalid {"path":"","message":"Not JSON; expected an object of settings."}",
        "settingsInvalid {"path":"","message":"Not JSON; expected an object of settings."}",
        "settingsInvalid {"path":"","message":"Not JSON; expected an object of settings."}",
        "settingsInvalid {"path":"","message":"Unreadable; expected a JSON file. Error: ENOENT: no such file"}",
      ]
    `);
    expect(lines.join("\n")).not.toContain("secret");
});

test("requests in series are read one after the other, and the last content counts", async () => {
    // Guards against an earlier read that ends later and puts the previous content back.
    const { state, lines, file } = createFixture();
    await file.open();
    const answers: ((text: string) => void)[] = [];
    state.readText = () => new Promise(resolve => void answers.push(resolve));
    const reloads = [file.reload(), file.reload()];
    for (const [index, leaseTtlMs] of [20_000, 30_000].entries()) {
        await vi.waitUntil(() => answers.length > index);
        expect(answers).toHaveLength(index + 1);
        answers[index]!(JSON.stringify({ ...valid, leaseTtlMs, logLevel: index === 0 ? "warn" : "info" }));
        await reloads[index];
    }
    expect(lines).toEqual([
        'settingsReloaded {"changed":"logLevel,leaseTtlMs","atNextStart":"logLevel,leaseTtlMs"}',
        'settingsReloaded {"changed":"logLevel,leaseTtlMs","atNextStart":"leaseTtlMs"}',
    ]);
});

test("a request during the first read is carried out after it", async () => {
    const { lines, file } = createFixture();
    const [checked] = await Promise.all([file.open(), file.reload()]);
    expect(checked).toMatchObject({ kind: "valid" });
    expect(lines).toEqual(['settingsReloaded {"changed":"","atNextStart":""}']);
});

test("a request after a first read that failed does nothing", async () => {
    const { lines, file, setText } = createFixture();
    setText("{");
    await expect(file.open()).rejects.toThrow(SyntaxError);
    await file.reload();
    expect(lines).toEqual([]);
});
