/** Worker thread: runs the selected scenarios and policies with one seed and posts the figures of each run. */
import {parentPort, workerData} from 'node:worker_threads';
import {z} from 'zod';
import {selectPolicies} from './policies.ts';
import {scenarios} from './scenarios.ts';
import {Simulation} from './simulation.ts';

/** Data passed to a worker. */
export const workerTaskSchema = z.object({
	seed: z.number(),
	scenarios: z.array(z.string()),
	policies: z.string().optional(),
});

const task = workerTaskSchema.parse(workerData);
const selectedScenarios = scenarios.filter(scenario => task.scenarios.includes(scenario.name));
for (const scenario of selectedScenarios) {
	for (const policy of selectPolicies(task.policies)) {
		parentPort?.postMessage(new Simulation(scenario, policy, task.seed).run());
	}
}
