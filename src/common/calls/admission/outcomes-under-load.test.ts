/** Results of callers under load: the engines of 16 VMs run against the benchmark's model in virtual time. */
import {expect} from 'earl';
import {type DemandFigures} from '../../../../benchmark/demand/demand-figures.ts';
import {DemandRun} from '../../../../benchmark/demand/demand-run.ts';
import {type DemandScenario, demandScenarios} from '../../../../benchmark/demand/scenarios.ts';
import {selectPolicies} from '../../../../benchmark/policy/policies.ts';
import {scenarios} from '../../../../benchmark/policy/scenarios.ts';
import {Simulation} from '../../../../benchmark/policy/simulation.ts';
import {type RunFigures} from '../../../../benchmark/policy/types.ts';

const seed = 5;

function run(scenarioName: string, policyName: string): RunFigures {
	const scenario = scenarios.find(candidate => candidate.name === scenarioName)!;
	const policy = selectPolicies(policyName).find(candidate => candidate.name === policyName)!;
	return new Simulation(scenario, policy, seed).run();
}

/** A load like the customers'; a few seconds of it suffice for a test. */
function runOnDemand(scenarioName: string, changes: Partial<DemandScenario> = {}): DemandFigures {
	const scenario = demandScenarios.find(candidate => candidate.name === scenarioName)!;
	return new DemandRun({...scenario, milliseconds: 5000, ...changes}, {}, seed).run();
}

describe('outcomes under load with on-demand measuring', () => {
	it('answers nearly all in time while neighbours slow a third of the backend servers down', () => {
		// At any moment a third of the backend servers take seven times as long, in phases of half a second. Placed without
		// probes, every third call would be late. A neighbour that starts during a call still makes some late.
		const figures = runOnDemand('calm');
		expect(figures.earned).toBeGreaterThanOrEqual(0.93);
		expect(figures.served).toBeGreaterThanOrEqual(0.99);
	});

	it('keeps answering in time at 1.3 times the capacity of quiet backend servers', () => {
		// When a registration opens, refused callers retry. Treated as new calls, they would fill the fast slots with answers
		// that are late; queued, they would make all calls late.
		const figures = runOnDemand('over');
		expect(figures.earned).toBeGreaterThanOrEqual(0.52);
		expect(figures.late).toBeLessThanOrEqual(0.2);
		expect(figures.attemptsACall).toBeLessThanOrEqual(1);
	});

	it('does the same with 126 VMs that have few reports each', () => {
		// Each VM gets a dozen calls per second and probes a few of 177 backend servers for each.
		const figures = runOnDemand('large-over', {milliseconds: 3000});
		expect(figures.earned).toBeGreaterThanOrEqual(0.5);
		// The budget of 60 load probes per second and backend server allows 8.3 per call, and the tokens saved up come on
		// top.
		expect(figures.measuringsACall).toBeLessThanOrEqual(9);
	});
});

describe('outcomes under load', () => {
	it('answers all calls of a burst, no later than the best simple policy', () => {
		// For 60 ms calls arrive at one and a half times the capacity of the backend servers. None may be refused, since the
		// backlog is gone long before any deadline.
		const figures = run('bursts', 'jaydale');
		expect(figures.goodPart).toEqual(1);
		expect(figures.p99).toBeLessThanOrEqual(1.05 * run('bursts', 'least-in-flight').p99);
	});

	it('keeps one greedy caller from the slots of the others', () => {
		// One portal sends three times as many calls as all others together, and the sum exceeds the capacity. The others'
		// calls are answered; only calls of the greedy one are refused, at once.
		const figures = run('greedy-caller', 'jaydale');
		expect(figures.lightGoodPart).toBeGreaterThanOrEqual(0.99);
		expect(figures.promptRefusals).toBeGreaterThanOrEqual(0.99);
		expect(run('greedy-caller', 'two-choices').lightGoodPart).toBeLessThanOrEqual(0.7);
	});

	it('answers as many calls as the slots can carry at twice the load, and refuses the rest at once', () => {
		// For seconds, twice as many calls arrive as there are slots. In a queue without a limit every call would be late,
		// and the slots would be full of work whose caller has gone.
		const figures = run('load-2', 'jaydale');
		expect(figures.goodput).toBeGreaterThanOrEqual(0.95);
		expect(figures.promptRefusals).toBeGreaterThanOrEqual(0.99);
		expect(figures.wastedWork).toBeLessThanOrEqual(0.01);
	});

	it('keeps calls away from a slow backend server before its reports show it', () => {
		// A neighbour takes nine tenths of a machine. Its backend server still reports a low load, since it is too slow to
		// accept much. Callers would get late answers or none.
		const figures = run('slow', 'jaydale');
		expect(figures.p99).toBeLessThanOrEqual(1.2 * figures.floorP99);
		expect(figures.goodPart).toEqual(1);
	});

	it('does not prefer a slow backend server that reports no load', () => {
		// Two backend servers report that they are idle, whatever their load, and run five times slower. Placed by reports, a
		// sixth of all calls would end there too late.
		const figures = run('misleading', 'jaydale');
		expect(figures.p99).toBeLessThanOrEqual(0.5 * run('misleading', 'least-in-flight').p99);
	});

	it('does not oscillate between backend servers when reports are old', () => {
		// Reports show the load of 300 ms ago, which is thirty answer times. All VMs would send their calls to where the load
		// was low then, which makes it the highest now.
		const figures = run('lagging', 'jaydale');
		expect(figures.p99).toBeLessThanOrEqual(run('lagging', 'least-in-flight').p99);
	});

	it('answers short calls beside long downloads as fast as without them', () => {
		// Judges download footage, 400 ms in a slot, while members look up schedules, 10 ms each.
		const figures = run('long-and-short', 'jaydale');
		expect(figures.goodPart).toEqual(1);
		expect(figures.p50).toBeLessThanOrEqual(1.15 * run('load-0.7', 'jaydale').p50);
	});
});
