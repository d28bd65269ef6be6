import {expect} from 'earl';
import {OrganisationSeries} from './organisation-series.ts';

describe('metric series by organisation', () => {
	// Guards the metrics system against a series for each of thousands of organisations.
	it('are bounded, with the others summed', () => {
		const series = new OrganisationSeries();
		const names = new Set(Array.from({length: 1000}, (_, index) => series.nameFor(`organisation-${index}`)));
		expect(names.size).toEqual(21);
		expect(series.nameFor('organisation-999')).toEqual('others');
	});
});
