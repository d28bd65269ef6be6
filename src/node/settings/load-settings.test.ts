import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect} from 'earl';
import * as fastCheck from 'fast-check';
import {describeFailure} from '../../common/errors/failure.ts';
import {inputFailures} from '../../common/settings/schema-failures.ts';
import {settingsSchema} from '../../common/settings/settings.ts';
import {loadSettings, loadTokens} from './load-settings.ts';

const validTokens = '[[operator]]\nname = "hanna"\nrole = "write"\ntoken = "0123456789-0123456789"\n';

const minimalSettings = `
[vm]
name = "vm-1"
dataCentre = "gdansk-1"
region = "gdansk"
address = "10.0.0.1"
[callers]
port = 7001
[operators]
port = 7002
tokensFile = "tokens.toml"
[peers]
port = 7003
plain = true
[platform]
url = "http://10.0.0.9:7000"
`;

describe('loading settings', () => {
	let folder: string;

	beforeEach(() => {
		folder = mkdtempSync(join(tmpdir(), 'jaydale-settings-'));
		writeFileSync(join(folder, 'tokens.toml'), validTokens);
	});

	afterEach(() => {
		rmSync(folder, {recursive: true});
	});

	function faults(text: string): string[] {
		const path = join(folder, 'vm.toml');
		writeFileSync(path, text);
		return loadSettings(path).match(() => [], failures => failures.map(value => describeFailure(value).replaceAll(folder, 'FOLDER')));
	}

	it('fills in all defaults', function () {
		const path = join(folder, 'vm.toml');
		writeFileSync(path, minimalSettings);
		const settings = loadSettings(path)._unsafeUnwrap();
		expect(JSON.stringify(settings, undefined, '\t').replaceAll(folder, 'FOLDER')).toMatchSnapshot(this);
	});

	// Fails if errors in a settings file are reported one at a time.
	it('reports all errors at once, with field, value found and allowed values', function () {
		expect(faults(`
[vm]
name = "VM 1"
datacentre = "gdansk-1"
region = "gdansk"
address = "localhost"
[callers]
port = 70010
[operators]
port = "7002"
tokensFile = ""
[peers]
port = 7003
seeds = ["10.0.0.2:7003", "vm-2:7003"]
[platform]
url = "ftp://10.0.0.9"
[log]
level = "loud"
[metrics]
enabled = 1
[answer]
keepForMilliseconds = 1
`)).toMatchSnapshot(this);
	});

	// Fails if the check of settings throws where a table is missing.
	it('reports errors for arbitrary input and never throws', () => {
		const table = fastCheck.oneof(fastCheck.jsonValue(), fastCheck.dictionary(fastCheck.constantFrom('port', 'plain', 'tls', 'address', 'seeds', 'url', 'level'), fastCheck.jsonValue()));
		const input = fastCheck.oneof(fastCheck.jsonValue(), fastCheck.dictionary(fastCheck.constantFrom('vm', 'peers', 'platform', 'log', 'limits', 'x'), table));
		fastCheck.assert(fastCheck.property(input, value => {
			const parsed = settingsSchema.safeParse(value);
			expect(parsed.success).toEqual(false);
			expect(inputFailures(parsed.error!, value, settingsSchema).length).toBeGreaterThan(0);
		}), {seed: 20_261_202, numRuns: 2000});
	});

	it('reports line and column of a syntax error', function () {
		expect(faults('[vm]\nname = "vm-1\n')).toMatchSnapshot(this);
	});

	it('reports missing files before the daemon starts', function () {
		const text = minimalSettings.replace('plain = true', '[peers.tls]\ncertificateFile = "a.pem"\nkeyFile = "tokens.toml"\nauthorityFile = "c.pem"')
			.replace('"tokens.toml"', '"none.toml"');
		expect(faults(text)).toMatchSnapshot(this);
	});

	// Fails if an error message contains a secret of the settings file.
	it('never shows a token', function () {
		const path = join(folder, 'tokens.toml');
		writeFileSync(path, `${validTokens}${validTokens}[[operator]]\nname = "x"\nrole = "admin"\ntoken = "hunter2"\n`);
		const first = loadTokens(path)._unsafeUnwrapErr().map(value => describeFailure(value));
		writeFileSync(path, `${validTokens}${validTokens}`);
		const second = loadTokens(path)._unsafeUnwrapErr().map(value => describeFailure(value));
		expect([...first, ...second]).toMatchSnapshot(this);
		expect(first.join('\n').includes('hunter2')).toEqual(false);
	});
});
