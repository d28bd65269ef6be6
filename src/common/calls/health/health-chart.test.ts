import {expect} from 'earl';
import {createMachine, transition} from 'xstate';
import chart from '../../../../charts/backend-server-health.json' with {type: 'json'};
import {
	type Health, type HealthEvent, initialHealth, nextHealth,
} from './health-chart.ts';

const states: readonly Health[] = ['warming', 'active', 'doubted', 'ejected', 'probing', 'leaving'];
const events: readonly HealthEvent[] = ['WARM', 'SILENT', 'ANSWERED', 'FAILING', 'PROBE', 'LEAVE', 'RETURN'];

describe('health chart', () => {
	it('has the same transitions in its table as the state chart, for every state and event', () => {
		// The table is built for speed from the chart that operators read. Guards against transitions that differ from it.
		const machine = createMachine(chart);
		for (const state of states) {
			for (const event of events) {
				const [next] = transition(machine, machine.resolveState({value: state}), {type: event});
				expect<unknown>(nextHealth(state, event)).toEqual(next.value);
			}
		}

		expect(Object.keys(chart.states).toSorted()).toEqual([...states].toSorted());
		expect(initialHealth).toEqual('warming');
	});
});
