import { readFile } from "node:fs/promises";
import { expect, test } from "vitest";
import { renderResultCodes } from "./renderResultCodes.js";
import { resultCodes } from "./resultCodes.js";

const codes = Object.values(resultCodes);

test("docs/result-codes.md lists the result codes as the code defines them", async () => {
    const page = await readFile(new URL("../../../docs/result-codes.md", import.meta.url), "utf8");
    const tables = page.slice(page.indexOf("## 1xxx")).trimEnd();
    expect(tables).toBe(renderResultCodes(codes));
});

test("numbers and names are unique, and each code is stored under its own name", () => {
    expect(new Set(codes.map(code => code.number)).size).toBe(codes.length);
    expect(Object.entries(resultCodes).filter(([name, code]) => name !== code.name)).toEqual([]);
});
