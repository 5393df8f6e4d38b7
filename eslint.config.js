import stylistic from "@stylistic/eslint-plugin";
import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

const exportKinds = new Set(["ExportNamedDeclaration", "ExportDefaultDeclaration", "ExportAllDeclaration"]);

/** House rule: one export a file, named like the file. */
const oneExport = {
    meta: { type: "suggestion", schema: [] },
    create(context) {
        return {
            Program(program) {
                const exported = program.body.filter(node => exportKinds.has(node.type));
                for (const extra of exported.slice(1)) {
                    context.report({
                        node: extra,
                        message: "One export a file: move this one to its own file.",
                    });
                }
            },
        };
    },
};

const clockOnly = "Take it from the Clock or Random argument, so that the same code runs under a fake clock.";

const restrictedSyntax = [
    {
        selector: "ClassDeclaration[superClass=null]",
        message: "Use a factory function that closes over its state.",
    },
    { selector: "Literal[raw='null']", message: "Use undefined." },
];

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**", "target/**", "journal/**"] },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        plugins: { "@stylistic": stylistic, jsdoc, house: { rules: { "one-export": oneExport } } },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": ["error", "always"],
            "prefer-const": "error",
            "max-lines": ["error", { max: 420, skipBlankLines: true, skipComments: true }],
            "max-lines-per-function": ["error", { max: 130, skipBlankLines: true, skipComments: true }],
            "@stylistic/brace-style": ["error", "stroustrup", { allowSingleLine: true }],
            "@stylistic/quotes": ["error", "double", { avoidEscape: true, allowTemplateLiterals: "always" }],
            "@typescript-eslint/no-explicit-any": "error",
            "@typescript-eslint/no-unused-vars": ["error", {
                argsIgnorePattern: "^_",
                varsIgnorePattern: "^_",
            }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "typeLike", format: ["PascalCase"] },
            ],
            "no-restricted-syntax": ["error", ...restrictedSyntax],
        },
    },
    {
        files: ["packages/*/src/**/*.ts", "platform/src/**/*.ts"],
        ignores: ["**/*.test.ts"],
        rules: {
            "house/one-export": "error",
            "jsdoc/require-jsdoc": [
                "error",
                {
                    publicOnly: true,
                    require: { FunctionDeclaration: true, ClassDeclaration: true },
                    contexts: [
                        "TSInterfaceDeclaration",
                        "TSTypeAliasDeclaration",
                        "ExportNamedDeclaration > VariableDeclaration",
                    ],
                },
            ],
        },
    },
    {
        files: ["packages/*/src/**/*.ts", "platform/src/**/*.ts"],
        ignores: [
            "**/*.test.ts",
            "**/testing/**",
            "packages/streams/src/receiveResponse.ts",
            "packages/bench/**",
        ],
        rules: {
            "no-restricted-syntax": [
                "error",
                ...restrictedSyntax,
                {
                    selector:
                        "CallExpression[callee.property.name=/^(on|once)$/][arguments.0.value='response']",
                    message: "Use receiveResponse, which refuses responses with a broken head.",
                },
            ],
        },
    },
    {
        files: ["packages/*/src/**/*.ts", "platform/src/**/*.ts"],
        ignores: [
            "**/*.test.ts",
            "**/testing/**",
            "packages/clock/src/createSystemClock.ts",
            "packages/bench/**",
            "packages/daemon/src/auburnarchd.ts",
        ],
        rules: {
            "no-restricted-globals": [
                "error",
                { name: "setTimeout", message: clockOnly },
                { name: "setInterval", message: clockOnly },
            ],
            "no-restricted-properties": [
                "error",
                { object: "Math", property: "random", message: clockOnly },
                { object: "Date", property: "now", message: clockOnly },
            ],
        },
    },
    {
        // A promise that rejects without a handler ends the process. Type information makes a run take four times as long.
        files: ["packages/*/src/**/*.ts", "platform/src/**/*.ts"],
        languageOptions: {
            parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
        },
        rules: {
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": "error",
        },
    },
    { files: ["packages/errors/src/resultCodes.ts"], rules: { "max-lines": "off" } },
);
