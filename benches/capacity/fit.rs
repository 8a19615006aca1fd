//! A least-squares line through measured points.

/// Returns the slope and the offset of the line that fits best.
pub(crate) fn line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (slope, mean_y - slope * mean_x)
}

/// Prints the points and their line.
pub(crate) fn print(what: &str, unit: &str, points: &[(f64, f64)]) {
    let (slope, offset) = line(points);
    let shown: Vec<_> = points
        .iter()
        .map(|(x, y)| format!("{x:.0}: {y:.3}"))
        .collect();
    println!(
        "  {what} [{}] -> {offset:.4} + {slope:.6} x {unit}",
        shown.join(", ")
    );
}
