import {readFileSync} from 'node:fs';
import {expect} from 'earl';
import {exitCodes} from './exit-codes.ts';
import {allCommands} from './run.ts';

describe('operators\' page of the command line', () => {
	const page = readFileSync('docs/operators/command-line.md', 'utf8');

	it('lists every command with its own options, the common options and all exit codes', () => {
		const commands = allCommands(async () => 0);
		const common = new Set(['server', 'token-file', 'format', 'note', 'operation', 'wait']);
		const missing = commands.flatMap(({usage, options}) => {
			const line = page.split('\n').find(candidate => candidate.startsWith(`| \`${usage === 'settings check <file>' ? 'settings check FILE' : usage}`));
			const missingOptions = options.filter(option => common.has(option.name) ? !page.includes(`--${option.name}`) : !line?.includes(`--${option.name}`));
			return [...missingOptions.map(option => `${usage} --${option.name}`), ...(line === undefined ? [usage] : [])];
		});
		expect(missing).toEqual([]);
		const codes = [...page.matchAll(/^\| (?<code>\d) \|/gmv)].map(match => Number(match.groups!.code));
		expect(codes).toEqual(Object.values(exitCodes).toSorted((first, second) => first - second));
	});
});
