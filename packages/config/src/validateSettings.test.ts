import { readFileSync } from "node:fs";
import { expect, test } from "vitest";
import { renderSettingsTable } from "./renderSettingsTable.js";
import { validateSettings } from "./validateSettings.js";

const readFile = (path: string): string => readFileSync(new URL(`../../../${path}`, import.meta.url), "utf8");
const readExample = (name: string): unknown => JSON.parse(readFile(`examples/${name}.settings.json`));

test.each(["entry", "sidecar-engine", "sidecar-plain"])("the example settings %s are valid", name => {
    expect(validateSettings(readExample(name))).toMatchObject({ kind: "valid" });
});

test("docs/settings.md contains the settings table of the schema", () => {
    expect(readFile("docs/settings.md")).toContain(renderSettingsTable());
});

test("flags in camelCase or kebab-case override settings from the file", () => {
    const result = validateSettings(readExample("entry"), {
        "listen-port": "0",
        logLevel: "warn",
        seeds: "http://10.0.0.1:1,http://10.0.0.2:1",
        "tls.certPath": "/c",
        "tls.keyPath": "/k",
        "tls.caPath": "/a",
    });
    expect(result).toMatchObject({
        kind: "valid",
        settings: {
            listenPort: 0,
            logLevel: "warn",
            seeds: ["http://10.0.0.1:1", "http://10.0.0.2:1"],
            tls: { certPath: "/c", keyPath: "/k", caPath: "/a" },
        },
    });
});

test("every fault in settings is reported, with the nearest name for unknown keys", () => {
    const faulty = {
        ...readExample("sidecar-engine") as object,
        listenPort: 70_000,
        enginUrl: "http://127.0.0.1:1",
        backendUrl: "http://127.0.0.1:2",
        dataFolder: "/x",
        clusterToken: "short",
        logLevel: "verbose",
    };
    expect(validateSettings(faulty, { "listen-host": "" })).toMatchInlineSnapshot(`
      {
        "faults": [
          {
            "message": "Too small: expected string to have >=1 characters",
            "path": "listenHost",
          },
          {
            "message": "Too big: expected number to be <=65535",
            "path": "listenPort",
          },
          {
            "message": "Expected at least 32 characters.",
            "path": "clusterToken",
          },
          {
            "message": "Expected one of info, warn, error.",
            "path": "logLevel",
          },
          {
            "message": "Unknown key. Did you mean "engineUrl"?",
            "path": "enginUrl",
          },
          {
            "message": "A sidecar needs exactly one of engineUrl and backendUrl.",
            "path": "engineUrl",
          },
          {
            "message": "Only a process of role entry has this.",
            "path": "dataFolder",
          },
        ],
        "kind": "invalid",
      }
    `);
    expect(validateSettings(undefined).kind).toBe("invalid");
    expect(validateSettings([], { listenPort: "x" }).kind).toBe("invalid");
});
