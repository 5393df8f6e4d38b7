import { expect, test } from "vitest";
import { parseFaultOptions } from "./parseFaultOptions.js";

const usual = { seed: "7", runs: "20", killers: "1" };

const describeOptions = (given: Partial<Parameters<typeof parseFaultOptions>[0]>): unknown => {
    const options = parseFaultOptions({ ...usual, ...given });
    return typeof options === "string" ? options.slice(0, 70) : { ...options, guards: undefined };
};

test("the options of the command are parsed, and invalid ones are described", () => {
    expect([
        describeOptions({}),
        describeOptions({ run: "14000058", kinds: "engineCrash,sidecarKill", killers: "3" }),
        describeOptions({ without: "quarantine.trials,quarantine.explainedDeaths" }),
        describeOptions({ run: "1", without: "quarantine.trials" }),
        describeOptions({ run: "-1" }),
        describeOptions({ runs: "0" }),
        describeOptions({ killers: "none" }),
        describeOptions({ kinds: "engineCrash,other" }),
        describeOptions({ without: "quarantine.nothing" }),
    ]).toMatchSnapshot();
});
