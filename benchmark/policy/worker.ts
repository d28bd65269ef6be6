/** Runs one seed of all wanted scenarios and policies on a thread of its own. */
import {parentPort, workerData} from 'node:worker_threads';
import {z} from 'zod';
import {selectPolicies} from './policies.ts';
import {scenarios} from './scenarios.ts';
import {Simulation} from './simulation.ts';

/** What a worker is told. */
export const workerTaskSchema = z.object({
	seed: z.number(),
	scenarios: z.array(z.string()),
	policies: z.string().optional(),
});

const task = workerTaskSchema.parse(workerData);
const wanted = scenarios.filter(scenario => task.scenarios.includes(scenario.name));
for (const scenario of wanted) {
	for (const policy of selectPolicies(task.policies)) {
		parentPort?.postMessage(new Simulation(scenario, policy, task.seed).run());
	}
}
