import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect} from 'earl';
import {loadCompleteEntrySettings} from './load-entry-settings.ts';

const completeSettings = `
[vm]
name = "vm-1"
dataCentre = "north"
[listen]
callers = "10.0.0.1:1"
readiness = "10.0.0.1:2"
directory = "10.0.0.1:3"
peers = "10.0.0.1:4"
metrics = "10.0.0.1:5"
[store]
address = "10.0.0.9:1"
heartbeatSeconds = 1.5
[calls]
measuringPerSecond = 60
retryShare = 0.2
[stop]
graceSeconds = 6
`;

describe('loading the settings of an entry VM at its start', () => {
	let folder: string;
	let path: string;

	beforeEach(() => {
		folder = mkdtempSync(join(tmpdir(), 'jaydale-entry-settings-'));
		path = join(folder, 'vm.toml');
	});
	afterEach(() => {
		rmSync(folder, {recursive: true});
	});

	/** Loads the settings; `onIncomplete` may write the file between two readings. */
	async function load(onIncomplete: (readings: number) => void = () => undefined): Promise<{isLoaded: boolean; readings: number; kinds: string[]}> {
		let readings = 1;
		const loaded = await loadCompleteEntrySettings(path, () => {
			onIncomplete(readings);
			readings++;
		});
		return {isLoaded: loaded.isOk(), readings, kinds: loaded.match(() => [], failures => failures.map(problem => problem.kind))};
	}

	// Guards a starting process against a settings file that the platform is still writing.
	it('reads a missing, empty or incomplete file again', async () => {
		const stages = ['', completeSettings.slice(0, 40), completeSettings.slice(0, completeSettings.indexOf('[stop]')), completeSettings];
		expect(await load(readings => {
			writeFileSync(path, stages[readings - 1]!);
		})).toEqual({isLoaded: true, readings: 5, kinds: []});
	});

	it('reports a file that stays missing', async () => {
		expect(await load()).toEqual({isLoaded: false, readings: 11, kinds: ['unreadable-file']});
	});

	it('reports a wrong value at once', async () => {
		writeFileSync(path, completeSettings.replace('"10.0.0.1:1"', '"localhost"'));
		expect(await load()).toEqual({isLoaded: false, readings: 1, kinds: ['not-allowed']});
	});
});
