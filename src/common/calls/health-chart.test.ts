import {expect} from 'earl';
import {createMachine, transition} from 'xstate';
import chart from '../../../charts/backend-server-health.json' with {type: 'json'};
import {
	type Health, type HealthEvent, initialHealth, nextHealth,
} from './health-chart.ts';

const states: readonly Health[] = ['warming', 'active', 'doubted', 'ejected', 'probing', 'leaving'];
const events: readonly HealthEvent[] = ['WARM', 'SILENT', 'ANSWERED', 'FAILING', 'PROBE', 'LEAVE', 'RETURN'];

describe('health chart', () => {
	it('steps in the table as the chart does in the interpreter, for every state and event', () => {
		// The table is made for speed from the same file. Did the two differ, operators would read one life
		// of a backend server in the chart and see another.
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
