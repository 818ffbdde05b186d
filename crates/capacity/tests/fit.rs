//! Tests the fit and the metrics page against known values.

use hinge_capacity::fit::{Fit, median};
use hinge_capacity::reading::MetricsPage;
use hinge_cases::cases;
use quickcheck::quickcheck;

quickcheck! {
    fn points_on_a_line_are_fitted_without_a_residual(base: i16, slope: i16) -> bool {
        let (base, slope) = (f64::from(base), f64::from(slope));
        let points = [1.0, 2.0, 5.0].map(|size| (size, base + slope * size));
        let fit = Fit::least_squares(&points).expect("three sizes differ");
        (fit.slope - slope).abs() < 1e-6 && (fit.base - base).abs() < 1e-6 && fit.residual < 1e-6
    }
}

cases! {
    one_size_has_no_slope => {
        assert_eq!(Fit::least_squares(&[(3.0, 1.0), (3.0, 2.0)]), None);
        assert_eq!(Fit::least_squares(&[]), None);
    }
    a_point_off_the_line_is_the_residual => {
        let fit = Fit::least_squares(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)]).expect("three sizes differ");
        assert!((fit.residual - 2.0).abs() < 1e-9);
        assert!(fit.slope.abs() < 1e-9);
    }
    the_median_ignores_an_outlier => {
        assert!((median(&[9.0, 1.0, 2.0]) - 2.0).abs() < 1e-9);
        assert!(median(&[]).abs() < 1e-9);
    }
    samples_are_summed_by_label => {
        let page = MetricsPage::parse("# HELP x y\nhinge_a_total{class=\"x\",direction=\"sent\"} 3\nhinge_a_total{class=\"y\",direction=\"sent\"} 4\nhinge_a_total_other 9\n");
        assert!((page.sum("hinge_a_total", "sent") - 7.0).abs() < 1e-9);
        assert!((page.sum("hinge_a_total", "class=\"y\"") - 4.0).abs() < 1e-9);
    }
}
