import type { GeneratedSample } from "@auburnarch/types/GeneratedSample";
import type { Sample } from "@auburnarch/types/Sample";
import type { SampleTask } from "@auburnarch/types/SampleTask";
import { backoffMs } from "./backoffMs.js";
import { buildSampleTask } from "./buildSampleTask.js";
import type { OpenStep } from "./OpenStep.js";
import { sampleIdOf } from "./sampleIdOf.js";
import type { SampleProducer } from "./SampleProducer.js";
import type { SampleProducerDeps } from "./SampleProducerDeps.js";

const firstBackoffMs = 100;
const maxBackoffMs = 10_000;

/**
 * Creates the sample producer: dispatch → verify → score → commit. Only verified and scored samples are committed.
 * A sample that fails verification is generated again after a backoff; scoring is retried until the service answers.
 */
export function createSampleProducer(deps: SampleProducerDeps): SampleProducer {
    const { state, guards, clock, random, logger, metrics } = deps;
    const failures = new Map<string, number>();
    let submissionCount = 0;

    const isOpen = (step: OpenStep): boolean =>
        !deps.isStopped() && state.steps.get(step.document.step) === step;

    function missingTasks(step: OpenStep, group: number): SampleTask[] {
        const { minVersion } = state.bounds();
        return step.ledger.missing(group)
            .map(index => buildSampleTask(state.job, step.document, group, index, minVersion, clock))
            .filter(task => !step.outstanding.has(task.sample));
    }

    function requestMissing(step: OpenStep, groups: readonly number[]): void {
        const tasks = groups.flatMap(group => missingTasks(step, group));
        if (tasks.length === 0 || !isOpen(step)) {
            return;
        }
        tasks.forEach(task => step.outstanding.set(task.sample, ++submissionCount));
        deps.dispatcher.submit(tasks);
    }

    function withdraw(step: OpenStep, groups: readonly number[]): void {
        const { job } = state.job;
        const samples = groups
            .flatMap(group =>
                step.ledger.missing(group).map(index => sampleIdOf(job, step.document.step, group, index))
            )
            .filter(sample => step.outstanding.delete(sample));
        if (samples.length > 0) {
            deps.dispatcher.withdraw(samples);
        }
    }

    function regenerateStale(step: OpenStep, group: number): boolean {
        const { minVersion } = state.bounds();
        const stale = step.ledger.present(group).filter(sample => !guards.isFresh(sample.spans, minVersion));
        if (stale.length === 0) {
            return false;
        }
        logger.info("groupStale", { step: step.document.step, group, samples: stale.length, minVersion });
        metrics.count("samples_remade_total", { reason: "staleVersion" }, stale.length);
        step.ledger.reopen(group, stale.map(sample => sample.index));
        requestMissing(step, [group]);
        return true;
    }

    async function regenerate(
        step: OpenStep,
        task: SampleTask,
        submission: number,
        reason: string,
    ): Promise<void> {
        const count = (failures.get(task.sample) ?? 0) + 1;
        failures.set(task.sample, count);
        logger.warn("sampleRejected", { sample: task.sample, reason, failures: count });
        metrics.count("samples_remade_total", { reason });
        await clock.sleep(backoffMs(count, firstBackoffMs, maxBackoffMs, random));
        if (step.outstanding.get(task.sample) === submission) {
            step.outstanding.delete(task.sample);
            requestMissing(step, [task.group]);
        }
    }

    /** Resolves with undefined if the sample is withdrawn before the scoring service has answered. */
    async function score(
        step: OpenStep,
        generated: GeneratedSample,
        submission: number,
    ): Promise<number | undefined> {
        const text = generated.answer.spans.map(span => span.text).join("");
        const isRequested = (): boolean =>
            isOpen(step) && step.outstanding.get(generated.task.sample) === submission;
        for (let attempts = 1; isRequested(); attempts++) {
            try {
                const result = await deps.scoring(state.job.scoring, generated.task.prompt, text);
                return isRequested() ? result : undefined;
            }
            catch {
                metrics.count("scoring_failures_total", { service: state.job.scoring });
                await clock.sleep(backoffMs(attempts, firstBackoffMs, maxBackoffMs, random));
            }
        }
        return undefined;
    }

    function toSample(generated: GeneratedSample, score: number): Sample {
        const { task, answer } = generated;
        return {
            sample: task.sample,
            group: task.group,
            index: task.index,
            spans: answer.spans,
            tokens: answer.spans.reduce((sum, span) => sum + span.tokens, 0),
            score,
            sampler: answer.sampler,
            engineMs: answer.engineMs,
        };
    }

    function commit(step: OpenStep, sample: Sample): void {
        step.outstanding.delete(sample.sample);
        failures.delete(sample.sample);
        const result = step.ledger.commit(sample);
        metrics.count("samples_committed_total", { result });
        const group = result === "groupWhole" ? step.ledger.wholeGroup(sample.group) : undefined;
        if (group !== undefined) {
            deps.onGroupComplete(step, group);
        }
    }

    async function handleGenerated(generated: GeneratedSample): Promise<void> {
        const step = state.steps.get(generated.task.step);
        const submission = step?.outstanding.get(generated.task.sample);
        if (step === undefined || submission === undefined) {
            return;
        }
        const problem = guards.findSampleProblem(state.job.job, generated, state.bounds());
        if (problem !== undefined) {
            await regenerate(step, generated.task, submission, problem);
            return;
        }
        const sampleScore = await score(step, generated, submission);
        if (sampleScore === undefined) {
            return;
        }
        // New weights may have been published while the sample was scored.
        if (!guards.isFresh(generated.answer.spans, state.bounds().minVersion)) {
            await regenerate(step, generated.task, submission, "staleVersion");
            return;
        }
        commit(step, toSample(generated, sampleScore));
    }

    return { requestMissing, withdraw, regenerateStale, handleGenerated };
}
