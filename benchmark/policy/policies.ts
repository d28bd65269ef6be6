/** Compared policies: the call engine, the call engine with single mechanisms disabled, and baselines. */
import {DefaultCallEngine} from '../../src/common/calls/call-engine.ts';
import {type CallTuning} from '../../src/common/calls/tuning.ts';
import {baselineRules, BaselineEngine} from './baseline-engine.ts';
import {type Policy} from './types.ts';

function engine(name: string, tailWeight: number, tuning: Partial<CallTuning> = {}): Policy {
	return {
		name,
		tailWeight,
		makeEngine: (random, dataCentre) => new DefaultCallEngine({random, settings: {dataCentre}, tuning}),
	};
}

const baselines: Policy[] = Object.entries(baselineRules).map(([name, makeRule]) => ({
	name,
	tailWeight: 1,
	makeEngine: random => new BaselineEngine(makeRule(), random),
}));

/** The call engine with one mechanism disabled by a neutral value. */
const ablations: Policy[] = Object.entries<Partial<CallTuning>>({
	reports: {reportLifetimeFactor: 0},
	'aging-of-reports': {reportLifetimeFactor: 1e6},
	slowness: {slownessDecayMilliseconds: 0.001},
	overdue: {overdueFactor: Infinity},
	'failure-penalty': {failurePenalty: 0},
	'local-first': {remoteRoundTripMilliseconds: 0, remotePenaltyFraction: 0},
	'slow-start': {warmingMilliseconds: 0},
	hedges: {hedgeQuantile: 1},
	limit: {targetQueuedPerSlot: Infinity},
	priorities: {priorityFactor: 1},
	'call-classes': {maxCallClasses: 0},
	'own-as-sample': {ownCallExtrapolation: 0},
	'short-standing-queue': {standingQueueMilliseconds: Infinity},
	fairness: {isFairQueue: false},
}).map(([name, tuning]) => engine(`without-${name}`, 1, tuning));

/** The call engine at intermediate tail weights, for the chart. */
const tailWeightVariants: Policy[] = [0.25, 0.5, 0.75].map(weight => engine(`weight-${weight}`, weight));

/** Policies that run by default, in the order of the table. */
const policies: readonly Policy[] = [
	...baselines,
	engine('jaydale', 1),
	engine('jaydale-cometa', 0),
];

/** Policies that run only if selected: together they take three times as long as the default ones. */
const extraPolicies: readonly Policy[] = [...ablations, ...tailWeightVariants];

/** Returns the policies whose names start with one of the comma-separated prefixes; without prefixes the default ones. */
export function selectPolicies(namePrefixes: string | undefined): readonly Policy[] {
	if (namePrefixes === undefined) {
		return policies;
	}

	return [...policies, ...extraPolicies].filter(policy => namePrefixes.split(',').some(prefix => policy.name.startsWith(prefix)));
}

export const baselineNames: ReadonlySet<string> = new Set(baselines.map(policy => policy.name));
