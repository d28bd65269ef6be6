import {expect} from 'earl';
import {ProofFleet} from './proof-fleet.ts';
import {RowRunner} from './row-runner.ts';
import {quickRows, rows} from './rows.ts';

describe('fault matrix', () => {
	it('keeps the guarantees in a few rows with real processes', async () => {
		const fleet = new ProofFleet();
		try {
			const ready = await fleet.setUp();
			expect(ready.mapErr(({message}) => message).isOk()).toEqual(true);
			const runner = new RowRunner(fleet);
			const results: string[] = [];
			for (const row of rows.filter(({name}) => quickRows.includes(name))) {
				const {name, result, notes} = await runner.run(row);
				results.push(result === 'pass' ? `pass ${name}` : `${result} ${name}: ${notes.join('; ')}`);
			}

			expect(results.toSorted()).toEqual(quickRows.map(name => `pass ${name}`).toSorted());
		} finally {
			fleet.dispose();
		}
	});
});
