import {readFileSync} from 'node:fs';
import {expect} from 'earl';
import {settingsReference} from './settings-reference.ts';
import {settingsSchema} from './settings.ts';

describe('settings reference', () => {
	// Fails if the operators' page differs from the schema.
	it('matches the settings page of the operators\' documentation', () => {
		const page = readFileSync('docs/operators/settings.md', 'utf8');
		const reference = page.slice(page.indexOf('## [vm]'), page.indexOf('## The tokens file'));
		expect(reference.trim().split('\n')).toEqual(settingsReference(settingsSchema).join('\n').trim().split('\n'));
	});
});
