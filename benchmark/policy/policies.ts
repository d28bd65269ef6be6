/** What is compared: the engine, the engine with single mechanisms off, and baselines. */
import {DefaultCallEngine} from '../../src/common/calls/call-engine.ts';
import {baselineRules, BaselineEngine} from './baseline-engine.ts';
import {type Policy} from './types.ts';

function engine(name: string, tailWeight: number): Policy {
	return {
		name,
		tailWeight,
		makeEngine: (random, dataCentre) => new DefaultCallEngine({random, settings: {dataCentre}}),
	};
}

const baselines: Policy[] = Object.entries(baselineRules).map(([name, makeRule]) => ({
	name,
	tailWeight: 1,
	makeEngine: random => new BaselineEngine(makeRule(), random),
}));

/** All policies, in the order of the table. */
export const policies: readonly Policy[] = [
	...baselines,
	engine('jaydale', 1),
	engine('jaydale-cometa', 0),
];

/** Names of the baselines. */
export const baselineNames: ReadonlySet<string> = new Set(baselines.map(policy => policy.name));
