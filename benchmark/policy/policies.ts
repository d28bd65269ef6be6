/** What is compared: the engine, the engine with single mechanisms off, and baselines. */
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

/** The engine with one mechanism set to its neutral value. */
const withouts: Policy[] = Object.entries<Partial<CallTuning>>({
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

/** The engine at other weights of the tail, for the chart. */
const weights: Policy[] = [0.25, 0.5, 0.75].map(weight => engine(`weight-${weight}`, weight));

/** All policies, in the order of the table. */
const policies: readonly Policy[] = [
	...baselines,
	engine('jaydale', 1),
	engine('jaydale-cometa', 0),
];

/** Single mechanisms off and other weights run on demand: they take three times as long as the rest. */
const extraPolicies: readonly Policy[] = [...withouts, ...weights];

/** The policies whose names begin with one of the wishes; without a wish all but the extra ones. */
export function selectPolicies(wishes: string | undefined): readonly Policy[] {
	if (wishes === undefined) {
		return policies;
	}

	return [...policies, ...extraPolicies].filter(policy => wishes.split(',').some(wish => policy.name.startsWith(wish)));
}

/** Names of the baselines. */
export const baselineNames: ReadonlySet<string> = new Set(baselines.map(policy => policy.name));
