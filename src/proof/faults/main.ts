/**
 * Runs the fault matrix: `node --import=tsx src/proof/faults/main.ts [--only TEXT] [--json FILE]`. Each row injects its
 * faults into real processes at one step of a call, change or stop; the oracle checks the recorded history.
 */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import sade from 'sade';
import {ProofFleet} from './proof-fleet.ts';
import {RowRunner} from './row-runner.ts';
import {rows} from './rows.ts';
import {type RowResult} from './types.ts';

type Options = {readonly only?: string; readonly json?: string};

function print({name, result, milliseconds, notes}: RowResult): void {
	console.log(`${result.padEnd(7)} ${name.padEnd(60)} ${String(Math.round(milliseconds)).padStart(6)} ms  ${notes.join('; ')}`);
}

async function main({only, json}: Options): Promise<number> {
	const fleet = new ProofFleet();
	try {
		const ready = await fleet.setUp();
		if (ready.isErr()) {
			console.log(ready.error.message);
			return 1;
		}

		const runner = new RowRunner(fleet);
		const results: RowResult[] = [];
		for (const row of rows.filter(({name}) => only === undefined || name.includes(only))) {
			const result = await runner.run(row);
			results.push(result);
			print(result);
		}

		const count = (result: RowResult['result']): number => results.filter(row => row.result === result).length;
		console.log(`${count('pass')} pass, ${count('fail')} fail, ${count('not run')} not run, of ${results.length} rows`);
		if (json !== undefined) {
			writeFileSync(json, JSON.stringify(results, undefined, '\t'));
		}

		return count('fail') === 0 ? 0 : 1;
	} finally {
		fleet.dispose();
	}
}

sade('faults', true)
	.option('--only', 'Run only rows whose names contain this text')
	.option('--json', 'Write the results as JSON to this file')
	.action(async (options: Options) => {
		process.exitCode = await main(options);
	})
	.parse(process.argv);
